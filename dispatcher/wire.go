package dispatcher

import (
	"encoding/binary"
	"errors"
	"slices"
	"time"
)

const (
	// loadUpdateFormat is the first byte of a message of shares.
	loadUpdateFormat = 10
	// maxLoadUpdate bounds a message, so that it fits one datagram of a usual link.
	maxLoadUpdate = 1300
	// wireIDSize is the size of a token in bytes.
	wireIDSize = 4
	// memoryUnit is what memory is rounded up to on the wire, in tokens.
	memoryUnit = 64
)

// What a share says in its first byte.
const (
	kindPlaced = iota
	kindFirstByteSeen
	kindEnded
	kindAnswered
	kindFailed
)

// ErrLoadUpdate says that a message of shares can't be read.
var ErrLoadUpdate = errors.New("message of shares is malformed")

// EncodeLoadUpdates writes shares as messages that fit a datagram each, from the
// named entry.
func EncodeLoadUpdates(from WireID, loads []RequestLoad) [][]byte {
	var messages [][]byte
	head := binary.LittleEndian.AppendUint32([]byte{loadUpdateFormat}, uint32(from))
	message := slices.Clone(head)
	for _, load := range loads {
		encoded := appendLoad(nil, load)
		if len(message)+len(encoded) > maxLoadUpdate && len(message) > len(head) {
			messages = append(messages, message)
			message = slices.Clone(head)
		}
		message = append(message, encoded...)
	}
	if len(message) > len(head) {
		messages = append(messages, message)
	}
	return messages
}

func appendLoad(to []byte, load RequestLoad) []byte {
	to = binary.LittleEndian.AppendUint32(to, uint32(load.ID))
	switch {
	case load.Ended && load.Outcome == OutcomeFailed:
		return binary.LittleEndian.AppendUint32(append(to, kindFailed), uint32(load.Assignments[0].Upstream))
	case load.Ended && load.Outcome == OutcomeAnswered:
		return append(to, kindAnswered)
	case load.Ended:
		return append(to, kindEnded)
	case load.FirstByteSeen:
		to = append(to, kindFirstByteSeen)
	default:
		to = append(to, kindPlaced)
	}
	to = binary.AppendUvarint(to, uint64(max(0, load.Age/time.Millisecond)))
	to = binary.AppendUvarint(to, uint64(max(0, load.Waited/time.Millisecond)))
	to = binary.AppendUvarint(to, uint64(max(0, load.Remaining/time.Millisecond)))
	to = binary.AppendUvarint(to, uint64(load.PromptTokens))
	to = binary.AppendUvarint(to, uint64(load.AnswerTokens))
	to = binary.AppendUvarint(to, uint64(load.FirstByteTarget/time.Millisecond))
	to = binary.AppendUvarint(to, uint64(load.GapTarget/time.Millisecond))
	to = binary.AppendUvarint(to, uint64(len(load.Assignments)))
	for _, a := range load.Assignments {
		to = binary.LittleEndian.AppendUint32(to, uint32(a.Upstream))
		to = binary.AppendUvarint(to, uint64((a.MemoryTokens+memoryUnit-1)/memoryUnit))
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

// loadReader reads a message; after the first fault it reads only zeros.
type loadReader struct {
	rest   []byte
	failed bool
}

func (r *loadReader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 1<<40 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

func (r *loadReader) milliseconds() time.Duration {
	return time.Duration(r.number()) * time.Millisecond
}

func (r *loadReader) kind() byte {
	if len(r.rest) == 0 || r.rest[0] > kindFailed {
		r.failed, r.rest = true, nil
		return kindEnded
	}
	k := r.rest[0]
	r.rest = r.rest[1:]
	return k
}

func (r *loadReader) wireID() WireID {
	if len(r.rest) < wireIDSize {
		r.failed, r.rest = true, nil
		return 0
	}
	id := WireID(binary.LittleEndian.Uint32(r.rest))
	r.rest = r.rest[wireIDSize:]
	return id
}

// load reads one share.
func (r *loadReader) load() RequestLoad {
	load := RequestLoad{ID: r.wireID()}
	kind := r.kind()
	switch kind {
	case kindFailed:
		load.Ended, load.Outcome, load.Assignments = true, OutcomeFailed, []AssignmentLoad{{Upstream: r.wireID(), Decodes: true}}
		return load
	case kindAnswered:
		load.Ended, load.Outcome = true, OutcomeAnswered
		return load
	case kindEnded:
		load.Ended = true
		return load
	}
	load.FirstByteSeen = kind == kindFirstByteSeen
	load.Age, load.Waited, load.Remaining = r.milliseconds(), r.milliseconds(), r.milliseconds()
	load.PromptTokens, load.AnswerTokens = r.number(), r.number()
	load.FirstByteTarget, load.GapTarget = r.milliseconds(), r.milliseconds()
	for range min(r.number(), len(r.rest)) {
		load.Assignments = append(load.Assignments, AssignmentLoad{Upstream: r.wireID(), MemoryTokens: r.number() * memoryUnit, Decodes: len(load.Assignments) == 0})
	}
	return load
}

// DecodeLoadUpdate reads a message.
func DecodeLoadUpdate(message []byte) (WireID, []RequestLoad, error) {
	if len(message) == 0 || message[0] != loadUpdateFormat {
		return 0, nil, ErrLoadUpdate
	}
	r := loadReader{rest: message[1:]}
	from := r.wireID()
	var loads []RequestLoad
	for len(r.rest) > 0 {
		loads = append(loads, r.load())
	}
	if r.failed {
		return 0, nil, ErrLoadUpdate
	}
	return from, loads, nil
}
