// Package sealer seals configuration documents that passed the console's check, and verifies seals.
// A seal is the last line of a document and holds an Ed25519 signature of all text before it,
// including the fields Revision and Base. A document that was changed after the check has no valid
// seal.
package sealer

import (
	"bytes"
	"crypto/ed25519"
	"encoding/base64"
	"encoding/hex"
	"fmt"
	"strings"
)

// sealPrefix is the start of the line with the seal, which is the document's YAML field Seal.
const sealPrefix = "Seal: "

// signatureDomain is the start of every signed message. A signature that the same key made for
// another purpose is therefore not valid as a seal.
const signatureDomain = "sapphireramp document\n"

// MissingSealError is the error for a document whose last line is not a seal.
type MissingSealError struct{}

func (MissingSealError) Error() string { return "Seal: missing: must be the document's last line" }

// InvalidSealError is the error for a seal that can't be decoded, or that was not made for the
// document's text with one of the accepted keys.
type InvalidSealError struct{ Reason string }

func (e InvalidSealError) Error() string { return "Seal: not valid: " + e.Reason }

// Seal returns a copy of the document that ends with a seal made with the private key. An earlier
// seal is replaced.
func Seal(document []byte, key ed25519.PrivateKey) []byte {
	text := StripSeal(document)
	signature := ed25519.Sign(key, signedMessage(text))
	return fmt.Appendf(text, "%s%s\n", sealPrefix, base64.RawStdEncoding.EncodeToString(signature))
}

// signedMessage returns the message to sign for a document's text without its seal.
func signedMessage(text []byte) []byte {
	return append([]byte(signatureDomain), text...)
}

// StripSeal returns a copy of the document without its seal. The copy ends with one line break.
func StripSeal(document []byte) []byte {
	text, _ := split(document)
	return text
}

// split returns the text of a document without its seal, and the base64 signature of the seal,
// which is empty if the document has no seal. The text is a copy; line breaks at the end of the
// document are reduced to one.
func split(document []byte) (text []byte, seal string) {
	text = append(bytes.TrimRight(bytes.Clone(document), "\n"), '\n')
	start := bytes.LastIndexByte(text[:len(text)-1], '\n') + 1
	last := string(text[start : len(text)-1])
	if !strings.HasPrefix(last, sealPrefix) {
		return text, ""
	}
	return text[:start], strings.TrimPrefix(last, sealPrefix)
}

// Verify returns nil if one of the keys verifies the document's seal. Otherwise the error is a
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

// KeyError is the error for a text that is not the hex encoding of a key or seed of WantBytes
// bytes.
type KeyError struct{ WantBytes int }

func (e KeyError) Error() string { return fmt.Sprintf("must be %d bytes in hex", e.WantBytes) }

// ParsePublicKey returns the Ed25519 public key that the text encodes in hex. The error is a
// KeyError.
func ParsePublicKey(text string) (ed25519.PublicKey, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != ed25519.PublicKeySize {
		return nil, KeyError{WantBytes: ed25519.PublicKeySize}
	}
	return raw, nil
}

// ParsePrivateKey returns the Ed25519 private key whose seed the text encodes in hex. The error is
// a KeyError.
func ParsePrivateKey(text string) (ed25519.PrivateKey, error) {
	raw, err := hex.DecodeString(text)
	if err != nil || len(raw) != ed25519.SeedSize {
		return nil, KeyError{WantBytes: ed25519.SeedSize}
	}
	return ed25519.NewKeyFromSeed(raw), nil
}

// PublicKeyHex returns the hex encoding of the public key that belongs to a private key.
func PublicKeyHex(key ed25519.PrivateKey) string {
	return hex.EncodeToString(key.Public().(ed25519.PublicKey))
}
