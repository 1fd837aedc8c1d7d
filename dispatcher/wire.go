package dispatcher

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

const (
	// shareFormat is the first byte of a message of shares.
	shareFormat = 10
	// maxShare bounds a message, so that it fits one datagram of a usual link.
	maxShare = 1300
	// tokenSize is the size of a token in bytes.
	tokenSize = 4
	// heldUnit is what memory is rounded up to on the wire, in tokens.
	heldUnit = 64
)

// What a share says in its first byte.
const (
	sharePlaced = iota
	shareBegun
	shareEnded
	shareAnswered
	shareFailed
)

// ErrLoadUpdate says that a message of shares can't be read.
var ErrLoadUpdate = errors.New("message of shares is malformed")

// EncodeLoadUpdates writes shares as messages that fit a datagram each, from the
// named entry.
func EncodeLoadUpdates(from WireID, shares []RequestLoad) [][]byte {
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

func appendShare(to []byte, s RequestLoad) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(s.ID))
	switch {
	case s.Ended && s.Outcome == OutcomeFailed:
		return binary.LittleEndian.AppendUint32(append(to, shareFailed), uint32(s.Assignments[0].Upstream))
	case s.Ended && s.Outcome == OutcomeAnswered:
		return append(to, shareAnswered)
	case s.Ended:
		return append(to, shareEnded)
	case s.FirstByteSeen:
		to = append(to, shareBegun)
	default:
		to = append(to, sharePlaced)
	}
	to = binary.AppendUvarint(to, uint64(max(0, s.Age/time.Millisecond)))
	to = binary.AppendUvarint(to, uint64(max(0, s.Waited/time.Millisecond)))
	to = binary.AppendUvarint(to, uint64(max(0, s.Remaining/time.Millisecond)))
	to = binary.AppendUvarint(to, uint64(s.PromptTokens))
	to = binary.AppendUvarint(to, uint64(s.AnswerTokens))
	to = binary.AppendUvarint(to, uint64(s.FirstByteTarget/time.Millisecond))
	to = binary.AppendUvarint(to, uint64(s.GapTarget/time.Millisecond))
	to = binary.AppendUvarint(to, uint64(len(s.Assignments)))
	for _, p := range s.Assignments {
		to = binary.LittleEndian.AppendUint32(to, uint32(p.Upstream))
		to = binary.AppendUvarint(to, uint64((p.MemoryTokens+heldUnit-1)/heldUnit))
	}
	return to
}

// RelayTarget says to whom in its data centre the receiver of a datagram passes its message on.
// It is the first byte of the datagram; a whole message of shares follows.
type RelayTarget byte

// Relays on the wire. The zero value is no byte there: the message is the receiver's alone.
// The others are no format of messages, past ones included: in an upgrade an entry would
// now and then take one for the other.
const (
	RelayToNone    RelayTarget = 0
	RelayToAll     RelayTarget = 7
	RelayToPlacing RelayTarget = 9
)

// WrapForRelay returns a message of shares as it is sent to an entry that is to pass it on.
func WrapForRelay(r RelayTarget, message []byte) []byte {
	return append([]byte{byte(r)}, message...)
}

// UnwrapRelay returns the message of shares in a datagram, and to whom its receiver is to
// pass it on. The message shares memory with the argument.
func UnwrapRelay(datagram []byte) (RelayTarget, []byte) {
	if len(datagram) == 0 {
		return RelayToNone, datagram
	}
	switch r := RelayTarget(datagram[0]); r {
	case RelayToPlacing, RelayToAll:
		return r, datagram[1:]
	default:
		return RelayToNone, datagram
	}
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

func (r *shareReader) milliseconds() time.Duration {
	return time.Duration(r.number()) * time.Millisecond
}

func (r *shareReader) kind() byte {
	if len(r.rest) == 0 || r.rest[0] > shareFailed {
		r.fault, r.rest = true, nil
		return shareEnded
	}
	k := r.rest[0]
	r.rest = r.rest[1:]
	return k
}

func (r *shareReader) token() WireID {
	if len(r.rest) < tokenSize {
		r.fault, r.rest = true, nil
		return 0
	}
	t := WireID(binary.LittleEndian.Uint32(r.rest))
	r.rest = r.rest[tokenSize:]
	return t
}

// share reads one share.
func (r *shareReader) share() RequestLoad {
	s := RequestLoad{ID: r.token()}
	kind := r.kind()
	switch kind {
	case shareFailed:
		s.Ended, s.Outcome, s.Assignments = true, OutcomeFailed, []AssignmentLoad{{Upstream: r.token(), Decodes: true}}
		return s
	case shareAnswered:
		s.Ended, s.Outcome = true, OutcomeAnswered
		return s
	case shareEnded:
		s.Ended = true
		return s
	}
	s.FirstByteSeen = kind == shareBegun
	s.Age, s.Waited, s.Remaining = r.milliseconds(), r.milliseconds(), r.milliseconds()
	s.PromptTokens, s.AnswerTokens = r.number(), r.number()
	s.FirstByteTarget, s.GapTarget = r.milliseconds(), r.milliseconds()
	for range min(r.number(), len(r.rest)) {
		s.Assignments = append(s.Assignments, AssignmentLoad{Upstream: r.token(), MemoryTokens: r.number() * heldUnit, Decodes: len(s.Assignments) == 0})
	}
	return s
}

// DecodeLoadUpdate reads a message.
func DecodeLoadUpdate(message []byte) (WireID, []RequestLoad, error) {
	if len(message) == 0 || message[0] != shareFormat {
		return 0, nil, ErrLoadUpdate
	}
	r := shareReader{rest: message[1:]}
	from := r.token()
	var shares []RequestLoad
	for len(r.rest) > 0 {
		shares = append(shares, r.share())
	}
	if r.fault {
		return 0, nil, ErrLoadUpdate
	}
	return from, shares, nil
}
