package scheduler

import (
	"encoding/binary"
	"errors"
	"math"
	"time"

	"github.com/sapphireramp/sapphireramp/apportioner"
)

const (
	// updateFormat is the first byte of an update. It changes whenever the layout of the message does, and
	// differs from those of load updates, rate limit updates and relayed messages in package dispatcher.
	updateFormat = 16
	// maxUpdate is the maximum size of an update in bytes, so that it fits into one datagram on a link
	// with the usual MTU.
	maxUpdate = 1300
	// useUnit is the unit of Place.Use on the wire, in slots or engines; uses are rounded up.
	useUnit = 1.0 / 1024
	// maxUseUnits bounds Place.Use on the wire.
	maxUseUnits = 1 << 20
)

// Kinds of records in an update, in the byte at the beginning of each.
const (
	kindPlace = iota
	kindClaim
)

// ErrMalformedUpdate is returned by Decode for a message that is not a valid update.
var ErrMalformedUpdate = errors.New("update of places is malformed")

// Update is what an entry tells others of places.
type Update struct {
	Places []Place
	// Claims are the IDs of the places that were claimed.
	Claims []uint32
}

// TakeChanges returns the places that this entry has given out and those that were claimed at it since
// the last call.
func (s *Scheduler) TakeChanges() Update {
	s.lock.Lock()
	defer s.lock.Unlock()
	u := Update{Places: s.newPlaces, Claims: s.newClaims}
	s.newPlaces, s.newClaims = nil, nil
	return u
}

// OwnPlaces returns the places of this entry that are not claimed yet, for a peer that has just joined.
func (s *Scheduler) OwnPlaces(now time.Time) Update {
	s.lock.Lock()
	defer s.lock.Unlock()
	s.expire(now)
	var u Update
	for _, p := range s.places {
		if p.isOwn {
			u.Places = append(u.Places, p.Place)
		}
	}
	return u
}

// notify announces a change on Changed.
func (s *Scheduler) notify() {
	select {
	case s.Changed <- struct{}{}:
	default:
	}
}

// IsUpdate reports whether a message is an update of places, and not of loads or rate limits.
func IsUpdate(message []byte) bool { return len(message) > 0 && message[0] == updateFormat }

// Encode encodes an update as messages that fit into one datagram each. Due times are encoded as the time
// from now, as the clocks of entries differ.
func Encode(now time.Time, u Update) [][]byte {
	var messages [][]byte
	message := []byte{updateFormat}
	add := func(record []byte) {
		if len(message)+len(record) > maxUpdate {
			messages = append(messages, message)
			message = []byte{updateFormat}
		}
		message = append(message, record...)
	}
	for _, p := range u.Places {
		add(appendPlace(nil, now, p))
	}
	for _, id := range u.Claims {
		add(binary.LittleEndian.AppendUint32([]byte{kindClaim}, id))
	}
	if len(message) > 1 {
		messages = append(messages, message)
	}
	return messages
}

// appendPlace appends the encoding of a place to a message.
func appendPlace(to []byte, now time.Time, p Place) []byte {
	to = append(to, kindPlace)
	for _, n := range []uint32{p.ID, uint32(p.Key), uint32(p.Service), uint32(p.Organisation)} {
		to = binary.LittleEndian.AppendUint32(to, n)
	}
	to = binary.AppendUvarint(to, uint64(p.Rank))
	to = binary.AppendUvarint(to, uint64(max(0, p.Due.Sub(now)/time.Millisecond)))
	return binary.AppendUvarint(to, uint64(min(maxUseUnits, max(0, math.Ceil(p.Use/useUnit)))))
}

// Decode decodes an update that was received now. The error is ErrMalformedUpdate for any malformed
// message.
func Decode(now time.Time, message []byte) (Update, error) {
	if !IsUpdate(message) {
		return Update{}, ErrMalformedUpdate
	}
	r := reader{rest: message[1:]}
	var u Update
	for len(r.rest) > 0 {
		kind := r.rest[0]
		r.rest = r.rest[1:]
		switch kind {
		case kindPlace:
			p := Place{ID: r.uint32(), Key: Key(r.uint32()), Service: Service(r.uint32()), Organisation: apportioner.Organisation(r.uint32())}
			p.Rank = apportioner.Rank(r.number(math.MaxUint32))
			p.Due = now.Add(time.Duration(r.number(uint64(MaxAhead/time.Millisecond))) * time.Millisecond)
			p.Use = float64(r.number(maxUseUnits)) * useUnit
			u.Places = append(u.Places, p)
		case kindClaim:
			u.Claims = append(u.Claims, r.uint32())
		default:
			r.fail()
		}
	}
	if r.hasFailed {
		return Update{}, ErrMalformedUpdate
	}
	return u, nil
}

// reader decodes an update. After the first error, hasFailed is true, and what it decodes are zeros.
type reader struct {
	rest      []byte
	hasFailed bool
}

func (r *reader) fail() { r.hasFailed, r.rest = true, nil }

// uint32 decodes an unsigned integer of 4 bytes.
func (r *reader) uint32() uint32 {
	if len(r.rest) < 4 {
		r.fail()
		return 0
	}
	n := binary.LittleEndian.Uint32(r.rest)
	r.rest = r.rest[4:]
	return n
}

// number decodes an unsigned varint. A value above limit is an error.
func (r *reader) number(limit uint64) uint64 {
	n, size := binary.Uvarint(r.rest)
	if size <= 0 || n > limit {
		r.fail()
		return 0
	}
	r.rest = r.rest[size:]
	return n
}
