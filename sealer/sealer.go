// Package sealer puts a seal on a configuration document that passed the
// check, and verifies it. The seal is the document's last line and signs all
// that stands before it, revision and base among it, so a document that was
// changed after the check carries no valid seal.
package sealer

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
)

// sealPrefix begins the seal's line. It is a field of the document.
const sealPrefix = "Seal: "

// signatureDomain keeps a signature from being taken for one of something else.
const signatureDomain = "sapphireramp document\n"

// MissingSealError says that a document has no seal as its last line.
type MissingSealError struct{}

func (MissingSealError) Error() string { return "Seal: missing: must be the document's last line" }

// InvalidSealError says that no accepted key made a document's seal.
type InvalidSealError struct{ Reason string }

func (e InvalidSealError) Error() string { return "Seal: not valid: " + e.Reason }

// Seal returns the document with a seal by the key; one that it has already
// is replaced.
func Seal(document []byte, key ed25519.PrivateKey) []byte {
	text := Strip(document)
	signature := ed25519.Sign(key, signedMessage(text))
	return fmt.Appendf(text, "%s%s\n", sealPrefix, base64.RawStdEncoding.EncodeToString(signature))
}

func signedMessage(text []byte) []byte {
	return append([]byte(signatureDomain), text...)
}

// Strip returns a copy of the document without its seal, ending with a line
// break.
func Strip(document []byte) []byte {
	text, _ := split(document)
	return text
}

// split parts a document from its seal, which is empty where there is none.
func split(document []byte) (text []byte, seal string) {
	text = append(bytes.TrimRight(bytes.Clone(document), "\n"), '\n')
	start := bytes.LastIndexByte(text[:len(text)-1], '\n') + 1
	last := string(text[start : len(text)-1])
	if !strings.HasPrefix(last, sealPrefix) {
		return text, ""
	}
	return text[:start], strings.TrimPrefix(last, sealPrefix)
}

// Verify reports why a document is not sealed by any of the keys, nil if it
// is by one.
func Verify(document []byte, keys []ed25519.PublicKey) error {
	text, seal := split(document)
	if seal == "" {
		return MissingSealError{}
	}
	signature, err := base64.RawStdEncoding.DecodeString(seal)
	if err != nil {
		return InvalidSealError{Reason: "not base64"}
	}
	for _, k := range keys {
		if ed25519.Verify(k, signedMessage(text), signature) {
			return nil
		}
	}
	return InvalidSealError{Reason: "no accepted key made it, or the document was changed since"}
}

// KeyError says that a text is no key.
type KeyError struct{ WantBytes int }

func (e KeyError) Error() string { return fmt.Sprintf("must be %d bytes in hex", e.WantBytes) }

// ParsePublicKey reads a public key in hex.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, KeyError{WantBytes: ed25519.PublicKeySize}
	}
	return raw, nil
}

// ParseSeed reads the seed of a private key in hex.
func ParseSeed(text string) (ed25519.PrivateKey, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != ed25519.SeedSize {
		return nil, KeyError{WantBytes: ed25519.SeedSize}
	}
	return ed25519.NewKeyFromSeed(raw), nil
}

// FormatPublicKey is a key's public part in hex.
func FormatPublicKey(key ed25519.PrivateKey) string {
	return hex.EncodeToString(key.Public().(ed25519.PublicKey))
}
