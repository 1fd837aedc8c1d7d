package dispatcher

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Token names an entry or an upstream in messages of shares: a hash of its name,
// since names would make up most of a message.
type Token uint32

// TokenOf is the token of a name.
func TokenOf(name string) Token { return Token(xxhash.Sum64String(name)) }

// Share is what one entry says of its load at one upstream.
type Share struct {
	Upstream Token
	Load     Load
}

const (
	// shareFormat is the first byte of a message of shares.
	shareFormat = 5
	// maxShare bounds a message, so that it fits one datagram of a usual link.
	maxShare = 1300
	// tokenSize is the size of a token in bytes.
	tokenSize = 4
	// valueUnit is what values are rounded to on the wire.
	valueUnit = 0.1
)

// ErrShare says that a message of shares can't be read.
var ErrShare = errors.New("message of shares is malformed")

// Export returns the shares that changed since the last call, or all that this
// entry has where all is true.
func (b *Board) Export(now time.Time, all bool) []Share {
	b.lock.Lock()
	defer b.lock.Unlock()
	var out []Share
	for id, w := range b.workers {
		if b.changed[id] || (all && len(w.parts) > 0) {
			out = append(out, Share{Upstream: TokenOf(id), Load: w.own(now)})
		}
	}
	clear(b.changed)
	return out
}

// leastDelay is the growth of a peer's prefill from which something new counts
// as prefilled there; less is rounding and the age of what the peer said.
const leastDelay = 10 * time.Millisecond

// Import takes in a peer's shares.
func (b *Board) Import(now time.Time, peer Token, shares []Share) {
	b.lock.Lock()
	defer b.lock.Unlock()
	for _, s := range shares {
		w, ok := b.tokens[s.Upstream]
		if !ok {
			continue
		}
		before := max(0, w.peers[peer].load.Prefill-now.Sub(w.peers[peer].at))
		if more := s.Load.Prefill - before; more > leastDelay {
			w.delay(now, more)
		}
		if s.Load.Running == 0 && s.Load.Prefill == 0 {
			delete(w.peers, peer)
			continue
		}
		w.peers[peer] = peerLoad{load: s.Load, at: now}
	}
}

// EncodeShares writes shares as messages that fit a datagram each, from the
// named entry.
func EncodeShares(from Token, shares []Share) [][]byte {
	var messages [][]byte
	head := binary.LittleEndian.AppendUint32([]byte{shareFormat}, uint32(from))
	message := slices.Clone(head)
	for _, s := range shares {
		one := appendShare(nil, s)
		if len(message)+len(one) > maxShare && len(message) > len(head) {
			messages = append(messages, message)
			message = slices.Clone(head)
		}
		message = append(message, one...)
	}
	if len(message) > len(head) {
		messages = append(messages, message)
	}
	return messages
}

func appendShare(to []byte, s Share) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(s.Upstream))
	to = binary.AppendUvarint(to, uint64(s.Load.Running))
	to = binary.AppendUvarint(to, uint64(s.Load.Prefill/time.Millisecond))
	to = binary.AppendUvarint(to, uint64(max(0, s.Load.Late/time.Millisecond)))
	to = binary.AppendUvarint(to, uint64(s.Load.Tokens))
	to = binary.AppendUvarint(to, uint64(len(s.Load.Streams)))
	for _, w := range s.Load.Streams {
		to = binary.AppendUvarint(to, uint64(w.Pause/time.Millisecond))
		to = binary.AppendUvarint(to, uint64(w.Count))
		to = binary.AppendUvarint(to, uint64(w.Value/valueUnit))
	}
	to = binary.AppendUvarint(to, uint64(len(s.Load.Waits)))
	for _, w := range s.Load.Waits {
		to = binary.AppendUvarint(to, uint64(w.Expected/time.Millisecond))
		to = binary.AppendUvarint(to, uint64(w.Here/time.Millisecond))
		to = binary.AppendUvarint(to, uint64(w.Target/time.Millisecond))
		to = binary.AppendUvarint(to, uint64(w.Value/valueUnit))
	}
	return to
}

// shareReader reads a message; after the first fault it reads only zeros.
type shareReader struct {
	rest  []byte
	fault bool
}

func (r *shareReader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 1<<40 {
		r.fault, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

func (r *shareReader) token() Token {
	if len(r.rest) < tokenSize {
		r.fault, r.rest = true, nil
		return 0
	}
	t := Token(binary.LittleEndian.Uint32(r.rest))
	r.rest = r.rest[tokenSize:]
	return t
}

// DecodeShares reads a message.
func DecodeShares(message []byte) (Token, []Share, error) {
	if len(message) == 0 || message[0] != shareFormat {
		return 0, nil, ErrShare
	}
	r := shareReader{rest: message[1:]}
	from := r.token()
	var shares []Share
	for len(r.rest) > 0 {
		s := Share{Upstream: r.token()}
		s.Load.Running = r.number()
		s.Load.Prefill = time.Duration(r.number()) * time.Millisecond
		s.Load.Late = time.Duration(r.number()) * time.Millisecond
		s.Load.Tokens = r.number()
		for range min(r.number(), len(r.rest)) {
			s.Load.Streams = append(s.Load.Streams, Streams{
				Pause: time.Duration(r.number()) * time.Millisecond, Count: r.number(), Value: float64(r.number()) * valueUnit,
			})
		}
		for range min(r.number(), len(r.rest)) {
			s.Load.Waits = append(s.Load.Waits, Wait{
				Expected: time.Duration(r.number()) * time.Millisecond, Here: time.Duration(r.number()) * time.Millisecond, Target: time.Duration(r.number()) * time.Millisecond,
				Value: float64(r.number()) * valueUnit,
			})
		}
		shares = append(shares, s)
	}
	if r.fault {
		return 0, nil, ErrShare
	}
	return from, shares, nil
}
