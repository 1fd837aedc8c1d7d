package dispatcher

import (
	"encoding/binary"
	"errors"
	"math"
	"slices"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

const (
	// loadUpdateFormat is the first byte of a load update. It changes whenever the layout of the
	// message does, and differs from all values of RelayTarget and rateLimitFormat.
	loadUpdateFormat = 12
	// maxLoadUpdate is the maximum size of a load update in bytes, so that it fits into one
	// datagram on a link with the usual MTU.
	maxLoadUpdate = 1300
	// compactIDSize is the encoded size of a compact ID in bytes.
	compactIDSize = 4
	// memoryUnit is the unit of memory on the wire, in tokens; amounts are rounded up.
	memoryUnit = 64
)

// Kinds of an encoded request load, in the byte after its ID.
const (
	kindPlaced = iota
	kindFirstByteSeen
	kindEnded
	kindAnswered
	kindFailed
)

// ErrMalformedLoadUpdate is returned by DecodeLoadUpdate for a message that is not a valid load
// update.
var ErrMalformedLoadUpdate = errors.New("load update is malformed")

// EncodeLoadUpdates encodes request loads of the entry with the compact ID from as load updates
// that fit into one datagram each.
func EncodeLoadUpdates(from CompactID, loads []RequestLoad) [][]byte {
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

// appendLoad appends the encoding of a request load to a message.
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
	to = binary.LittleEndian.AppendUint32(to, uint32(load.Organisation))
	to = binary.AppendUvarint(to, uint64(load.Rank))
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

// RelayTarget selects the entries of the receiver's own data centre to which the receiver of a
// datagram relays the load update in it. It is the first byte of such a datagram, before the
// complete load update.
type RelayTarget byte

// Relay targets. RelayToNone is not encoded: the load update is for the receiver alone. RelayToAll
// selects all entries, RelayToPlacing those that place requests. The encoded values differ from all
// past and present values of loadUpdateFormat, as entries of different versions would otherwise
// confuse the two during an upgrade.
const (
	RelayToNone    RelayTarget = 0
	RelayToAll     RelayTarget = 7
	RelayToPlacing RelayTarget = 9
)

// WrapForRelay returns the datagram that asks its receiver to relay a load update to the entries
// that r selects.
func WrapForRelay(r RelayTarget, message []byte) []byte {
	return append([]byte{byte(r)}, message...)
}

// UnwrapRelay returns the load update in a datagram, and the entries to which its receiver must
// relay it. The result shares memory with the argument.
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

// loadReader decodes a load update. After the first error, failed is true, and what it decodes are
// zeros and ended requests.
type loadReader struct {
	rest   []byte
	failed bool
}

// number decodes an unsigned varint. Values above 2^40 are errors.
func (r *loadReader) number() int {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > 1<<40 {
		r.failed, r.rest = true, nil
		return 0
	}
	r.rest = r.rest[size:]
	return int(n)
}

// milliseconds decodes a duration in whole milliseconds.
func (r *loadReader) milliseconds() time.Duration {
	return time.Duration(r.number()) * time.Millisecond
}

// rank decodes a rank. Values above 2^32-1 are errors.
func (r *loadReader) rank() apportioner.Rank {
	n := r.number()
	if n > math.MaxUint32 {
		r.failed, r.rest = true, nil
		return 0
	}
	return apportioner.Rank(n)
}

// kind decodes the kind of a request load. It returns kindEnded after an error.
func (r *loadReader) kind() byte {
	if len(r.rest) == 0 || r.rest[0] > kindFailed {
		r.failed, r.rest = true, nil
		return kindEnded
	}
	k := r.rest[0]
	r.rest = r.rest[1:]
	return k
}

// compactID decodes a compact ID. It returns 0 after an error.
func (r *loadReader) compactID() CompactID {
	if len(r.rest) < compactIDSize {
		r.failed, r.rest = true, nil
		return 0
	}
	id := CompactID(binary.LittleEndian.Uint32(r.rest))
	r.rest = r.rest[compactIDSize:]
	return id
}

// uint64 decodes an unsigned integer of 8 bytes. It returns 0 after an error.
func (r *loadReader) uint64() uint64 {
	if len(r.rest) < 8 {
		r.failed, r.rest = true, nil
		return 0
	}
	n := binary.LittleEndian.Uint64(r.rest)
	r.rest = r.rest[8:]
	return n
}

// load decodes one request load.
func (r *loadReader) load() RequestLoad {
	load := RequestLoad{ID: r.compactID()}
	kind := r.kind()
	switch kind {
	case kindFailed:
		load.Ended, load.Outcome, load.Assignments = true, OutcomeFailed, []AssignmentLoad{{Upstream: r.compactID(), Decodes: true}}
		return load
	case kindAnswered:
		load.Ended, load.Outcome = true, OutcomeAnswered
		return load
	case kindEnded:
		load.Ended = true
		return load
	}
	load.FirstByteSeen = kind == kindFirstByteSeen
	load.Organisation = apportioner.Organisation(r.compactID())
	load.Rank = r.rank()
	load.Age, load.Waited, load.Remaining = r.milliseconds(), r.milliseconds(), r.milliseconds()
	load.PromptTokens, load.AnswerTokens = r.number(), r.number()
	load.FirstByteTarget, load.GapTarget = r.milliseconds(), r.milliseconds()
	for range min(r.number(), len(r.rest)) {
		load.Assignments = append(load.Assignments, AssignmentLoad{Upstream: r.compactID(), MemoryTokens: r.number() * memoryUnit, Decodes: len(load.Assignments) == 0})
	}
	return load
}

// DecodeLoadUpdate decodes a load update and returns the compact ID of the entry that sent it. The
// error is ErrMalformedLoadUpdate for any malformed message.
func DecodeLoadUpdate(message []byte) (CompactID, []RequestLoad, error) {
	if len(message) == 0 || message[0] != loadUpdateFormat {
		return 0, nil, ErrMalformedLoadUpdate
	}
	r := loadReader{rest: message[1:]}
	from := r.compactID()
	var loads []RequestLoad
	for len(r.rest) > 0 {
		loads = append(loads, r.load())
	}
	if r.failed {
		return 0, nil, ErrMalformedLoadUpdate
	}
	return from, loads, nil
}
