// Package spender makes a request run at most once although nothing is
// stored. A ticket is bound to one incarnation of one entry; it can be spent
// in that incarnation's memory only, and is void for good when that is gone.
//
// Tickets are numbered and one bit is kept for each, so a ticket's fate is
// known for as long as its incarnation lives; answers are kept in bounded
// memory for a ticket's life, to be given again to a caller that asks again.
package spender

import (
	"crypto/hmac"
	"crypto/sha256"
	"encoding/base64"
	"encoding/binary"
	"fmt"
	"strings"
	"time"
)

const (
	// maxTickets bounds the tickets of one incarnation: one bit each, 1 MiB.
	maxTickets  = 8 << 20
	macSize     = 16
	payloadSize = 8 + 8 + 8
)

// Ticket is a parsed ticket. Only its own incarnation can tell whether it is
// genuine.
type Ticket struct {
	// Owner and Incarnation name the entry that can spend the ticket.
	Owner       string
	Incarnation uint64
	number      uint64
	// issuedAt is the time of issue, counted from the incarnation's start.
	issuedAt time.Duration
	mac      [macSize]byte
}

// MalformedError says that a text is no ticket.
type MalformedError struct{ Reason string }

func (e MalformedError) Error() string { return "malformed ticket: " + e.Reason }

// ParseTicket reads a ticket's text.
func ParseTicket(text string) (Ticket, error) {
	owner, encoded, found := strings.Cut(text, ".")
	if !found || owner == "" {
		return Ticket{}, MalformedError{"no owner"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return Ticket{}, MalformedError{"not base64"}
	}
	if len(raw) != payloadSize+macSize {
		return Ticket{}, MalformedError{fmt.Sprintf("%d bytes", len(raw))}
	}
	t := Ticket{
		Owner:       owner,
		Incarnation: binary.BigEndian.Uint64(raw),
		number:      binary.BigEndian.Uint64(raw[8:]),
		issuedAt:    time.Duration(binary.BigEndian.Uint64(raw[16:])),
	}
	copy(t.mac[:], raw[payloadSize:])
	return t, nil
}

// Config of a spender.
type Config struct {
	Name        string
	Incarnation uint64
	// TicketTTL is how long a ticket may be spent and its answer is kept.
	TicketTTL time.Duration
	// MaxAnswerBytes bounds all kept answers together.
	MaxAnswerBytes int
	// Secret signs tickets; it is random and leaves no incarnation.
	Secret []byte
}

// SpendResult of a ticket that was presented.
type SpendResult int

// The fates.
const (
	// Spent: this call alone may run the request, now.
	Spent SpendResult = iota
	// InProgress: an earlier call is running it.
	InProgress
	// Repeat: it ran; Answer is what the caller was or would be told.
	Repeat
	// Ran: it ran, or may have, but its answer is no longer kept.
	Ran
	// Expired: it was never spent and can no longer be.
	Expired
	// Forged: it was not issued by this incarnation.
	Forged
)

var resultNames = [...]string{"Spent", "InProgress", "Repeat", "Ran", "Expired", "Forged"}

func (f SpendResult) String() string { return resultNames[f] }

// Answer is what is kept of a finished call.
type Answer struct {
	Status      int
	ContentType string
	Outcome     string
	Body        []byte
}

type record struct {
	// answer is nil while the call is in progress, or once dropped.
	answer  *Answer
	done    bool
	expires time.Duration
	// digest binds the ticket to the request it was spent for.
	digest [sha256.Size]byte
}

// Spender holds the tickets of one incarnation. It is not safe for
// concurrent use.
type Spender struct {
	config      Config
	start       time.Time
	issuedCount uint64
	spentBits   []uint64
	records     map[uint64]*record
	// finished is the numbers of finished records, oldest first.
	finished    []uint64
	answerBytes int
}

// New returns a spender with no tickets.
func New(now time.Time, config Config) *Spender {
	return &Spender{config: config, start: now, records: map[uint64]*record{}}
}

// ExhaustedError says that an incarnation issued all the tickets it can.
type ExhaustedError struct{ Limit uint64 }

func (e ExhaustedError) Error() string {
	return fmt.Sprintf("tickets: all %d of this incarnation were issued", e.Limit)
}

// Issue makes a ticket. Nothing is kept for it but a bit.
func (s *Spender) Issue(now time.Time) (string, error) {
	if s.issuedCount >= maxTickets {
		return "", ExhaustedError{Limit: maxTickets}
	}
	number := s.issuedCount
	s.issuedCount++
	raw := make([]byte, payloadSize, payloadSize+macSize)
	binary.BigEndian.PutUint64(raw, s.config.Incarnation)
	binary.BigEndian.PutUint64(raw[8:], number)
	binary.BigEndian.PutUint64(raw[16:], uint64(now.Sub(s.start)))
	mac := s.sign(raw)
	raw = append(raw, mac[:]...)
	return s.config.Name + "." + base64.RawURLEncoding.EncodeToString(raw), nil
}

func (s *Spender) sign(raw []byte) [macSize]byte {
	h := hmac.New(sha256.New, s.config.Secret)
	h.Write([]byte(s.config.Name))
	h.Write(raw)
	var mac [macSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

func (s *Spender) isGenuine(t Ticket) bool {
	if t.Owner != s.config.Name || t.Incarnation != s.config.Incarnation {
		return false
	}
	raw := make([]byte, payloadSize)
	binary.BigEndian.PutUint64(raw, t.Incarnation)
	binary.BigEndian.PutUint64(raw[8:], t.number)
	binary.BigEndian.PutUint64(raw[16:], uint64(t.issuedAt))
	mac := s.sign(raw)
	return hmac.Equal(mac[:], t.mac[:])
}

// MismatchError says that a ticket was spent for another request.
type MismatchError struct{}

func (MismatchError) Error() string { return "ticket: spent for another request" }

// Spend presents a ticket for a request, named by a digest of all that makes
// it what it is. After Spent the caller runs the request and calls Finish.
func (s *Spender) Spend(now time.Time, t Ticket, request [sha256.Size]byte) (SpendResult, *Answer, error) {
	s.removeExpired(now)
	if !s.isGenuine(t) {
		return Forged, nil, nil
	}
	if !s.isSpent(t.number) {
		if now.Sub(s.start)-t.issuedAt > s.config.TicketTTL {
			return Expired, nil, nil
		}
		s.setSpent(t.number)
		s.records[t.number] = &record{digest: request}
		return Spent, nil, nil
	}
	r, found := s.records[t.number]
	switch {
	case found && r.digest != request:
		return Ran, nil, MismatchError{}
	case found && !r.done:
		return InProgress, nil, nil
	case found && r.answer != nil:
		return Repeat, r.answer, nil
	}
	return Ran, nil, nil
}

// Finish keeps the answer of a call that was Spent. A nil answer keeps only
// that it ran.
func (s *Spender) Finish(now time.Time, t Ticket, answer *Answer) {
	r, ok := s.records[t.number]
	if !ok || r.done {
		return
	}
	r.done = true
	r.expires = now.Sub(s.start) + s.config.TicketTTL
	s.finished = append(s.finished, t.number)
	if answer == nil || len(answer.Body) > s.config.MaxAnswerBytes {
		return
	}
	r.answer = answer
	s.answerBytes += len(answer.Body)
	s.evictAnswers()
}

// Unspend gives a ticket back after a call that truly did not run, so that
// the caller may present it again.
func (s *Spender) Unspend(t Ticket) {
	r, ok := s.records[t.number]
	if !ok || r.done {
		return
	}
	delete(s.records, t.number)
	s.spentBits[t.number/64] &^= 1 << (t.number % 64)
}

func (s *Spender) isSpent(number uint64) bool {
	word := number / 64
	return word < uint64(len(s.spentBits)) && s.spentBits[word]&(1<<(number%64)) != 0
}

func (s *Spender) setSpent(number uint64) {
	for uint64(len(s.spentBits)) <= number/64 {
		s.spentBits = append(s.spentBits, 0)
	}
	s.spentBits[number/64] |= 1 << (number % 64)
}

// evictAnswers drops the oldest answers while they are over the bound.
func (s *Spender) evictAnswers() {
	for _, number := range s.finished {
		if s.answerBytes <= s.config.MaxAnswerBytes {
			return
		}
		s.dropAnswer(number)
	}
}

func (s *Spender) dropAnswer(number uint64) {
	r := s.records[number]
	if r.answer == nil {
		return
	}
	s.answerBytes -= len(r.answer.Body)
	r.answer = nil
}

// removeExpired forgets records past their life; the bit stays.
func (s *Spender) removeExpired(now time.Time) {
	age := now.Sub(s.start)
	for len(s.finished) > 0 && s.records[s.finished[0]].expires < age {
		s.dropAnswer(s.finished[0])
		delete(s.records, s.finished[0])
		s.finished = s.finished[1:]
	}
}

// Size is how many records are held, and the bytes of their answers.
func (s *Spender) Size() (records, bytes int) { return len(s.records), s.answerBytes }
