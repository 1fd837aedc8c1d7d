// Package sealer seals configuration documents that passed the console's check, and verifies seals.
// A seal is the last line of a document and a signature over everything before it, including the
// revision and the base revision, so a document that was changed after the check has no valid seal.
package sealer

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
)

// sealPrefix starts the line of the seal, which is the document's field Seal.
const sealPrefix = "Seal: "

// signatureDomain starts every signed message, so that a signature of something else is not valid
// as a seal.
const signatureDomain = "sapphireramp document\n"

// MissingSealError reports that the last line of a document is not a seal.
type MissingSealError struct{}

func (MissingSealError) Error() string { return "Seal: missing: must be the document's last line" }

// InvalidSealError reports that a seal can't be decoded, or was made with none of the accepted keys
// or for another text.
type InvalidSealError struct{ Reason string }

func (e InvalidSealError) Error() string { return "Seal: not valid: " + e.Reason }

// Seal returns the document with a seal made with the key, in place of any earlier seal.
func Seal(document []byte, key ed25519.PrivateKey) []byte {
	text := StripSeal(document)
	signature := ed25519.Sign(key, signedMessage(text))
	return fmt.Appendf(text, "%s%s\n", sealPrefix, base64.RawStdEncoding.EncodeToString(signature))
}

// signedMessage returns the message that a seal of the text signs.
func signedMessage(text []byte) []byte {
	return append([]byte(signatureDomain), text...)
}

// StripSeal returns a copy of the document without its seal, ending with a line break.
func StripSeal(document []byte) []byte {
	text, _ := split(document)
	return text
}

// split separates a document from its seal, which is empty if there is none. The text ends with a
// line break.
func split(document []byte) (text []byte, seal string) {
	text = append(bytes.TrimRight(bytes.Clone(document), "\n"), '\n')
	start := bytes.LastIndexByte(text[:len(text)-1], '\n') + 1
	last := string(text[start : len(text)-1])
	if !strings.HasPrefix(last, sealPrefix) {
		return text, ""
	}
	return text[:start], strings.TrimPrefix(last, sealPrefix)
}

// Verify returns nil if the document's seal was made with any of the keys. Otherwise the error is a
// MissingSealError or an InvalidSealError.
func Verify(document []byte, keys []ed25519.PublicKey) error {
	text, seal := split(document)
	if seal == "" {
		return MissingSealError{}
	}
	signature, err := base64.RawStdEncoding.DecodeString(seal)
	if err != nil {
		return InvalidSealError{Reason: "signature is not base64"}
	}
	for _, k := range keys {
		if ed25519.Verify(k, signedMessage(text), signature) {
			return nil
		}
	}
	return InvalidSealError{Reason: "no accepted key made it, or the document was changed since"}
}

// KeyError reports that a text is not the hex encoding of a key or seed of WantBytes bytes.
type KeyError struct{ WantBytes int }

func (e KeyError) Error() string { return fmt.Sprintf("must be %d bytes in hex", e.WantBytes) }

// ParsePublicKey decodes a public key from hex. The error is a KeyError.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, KeyError{WantBytes: ed25519.PublicKeySize}
	}
	return raw, nil
}

// ParsePrivateKey decodes the seed of a private key from hex and returns the key. The error is a
// KeyError.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != ed25519.SeedSize {
		return nil, KeyError{WantBytes: ed25519.SeedSize}
	}
	return ed25519.NewKeyFromSeed(raw), nil
}

// PublicKeyHex returns the public key of a private key in hex.
func PublicKeyHex(key ed25519.PrivateKey) string {
	return hex.EncodeToString(key.Public().(ed25519.PublicKey))
}
