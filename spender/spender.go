// Package spender issues the tickets by which a request runs at most once, without stored state. A
// caller obtains a ticket and sends it with the request. A ticket belongs to one incarnation of one
// entry: only that incarnation can accept it, from its own memory, and the ticket becomes void when
// the incarnation ends.
//
// Tickets are numbered and one bit per ticket records whether it was spent, for as long as the
// incarnation lives. The answer to a finished request is kept for Config.TicketTTL, in bounded
// memory, and is sent again to a caller that repeats the request.
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
	// maxTickets bounds the tickets of one incarnation. One bit is kept for each, 1 MiB in all.
	maxTickets = 8 << 20
	// macSize is the length in bytes of a ticket's truncated HMAC-SHA256.
	macSize = 16
	// payloadSize is the length in bytes of the signed fields: incarnation, number and time of
	// issue.
	payloadSize = 8 + 8 + 8
)

// Ticket is a ticket that a caller presented, decoded but not yet verified. Only the incarnation
// that issued it can verify it.
type Ticket struct {
	// Owner is the name of the entry that issued the ticket, Incarnation the number of the entry's
	// incarnation at that time.
	Owner       string
	Incarnation uint64
	// number identifies the ticket among those of its incarnation, which are numbered from 0.
	number uint64
	// issuedAt is the time from the start of the incarnation to the issue of the ticket.
	issuedAt time.Duration
	mac      [macSize]byte
}

// MalformedTicketError reports that a text can't be decoded as a ticket.
type MalformedTicketError struct{ Reason string }

func (e MalformedTicketError) Error() string { return "malformed ticket: " + e.Reason }

// ParseTicket decodes the text of a ticket without verifying it. The error is a MalformedError.
func ParseTicket(text string) (Ticket, error) {
	owner, encoded, found := strings.Cut(text, ".")
	if !found || owner == "" {
		return Ticket{}, MalformedTicketError{"missing owner"}
	}
	raw, err := base64.RawURLEncoding.DecodeString(encoded)
	if err != nil {
		return Ticket{}, MalformedTicketError{"invalid base64"}
	}
	if len(raw) != payloadSize+macSize {
		return Ticket{}, MalformedTicketError{fmt.Sprintf("decodes to %d bytes", len(raw))}
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

// Config is the configuration of a Spender.
type Config struct {
	// Name is the name of the entry and Incarnation the number of its current incarnation.
	Name        string
	Incarnation uint64
	// TicketTTL is the time after issue within which a ticket can be spent, and the time for which
	// the answer is kept after the request has ended.
	TicketTTL time.Duration
	// MaxAnswerBytes bounds the total size of all kept answers.
	MaxAnswerBytes int
	// Secret is the key that signs tickets. Each incarnation chooses it at random and never stores
	// or sends it.
	Secret []byte
}

// SpendResult is the result of presenting a ticket with a request.
type SpendResult int

// The results of Spend.
const (
	// Spent means that this call spent the ticket, so the caller must now run the request. Of
	// several calls with one ticket, only one gets this result, unless Unspend follows.
	Spent SpendResult = iota
	// InProgress means that an earlier call spent the ticket and its request is still running.
	InProgress
	// Repeat means that the request has ended. Its answer is returned, to be sent again.
	Repeat
	// Ran means that the request ran or may have run, but its answer is not kept.
	Ran
	// Expired means that the ticket was not spent within its TTL, so no request ran with it.
	Expired
	// Forged means that the ticket was not issued by this incarnation.
	Forged
)

var resultNames = [...]string{"Spent", "InProgress", "Repeat", "Ran", "Expired", "Forged"}

func (r SpendResult) String() string { return resultNames[r] }

// Answer is the response to a finished request, kept to be sent again.
type Answer struct {
	// Status is the HTTP status code.
	Status int
	// ContentType is the value of the Content-Type header.
	ContentType string
	// Outcome is the value of the outcome header.
	Outcome string
	Body    []byte
}

// record is the state of a spent ticket until its answer expires.
type record struct {
	// answer is nil while the request is running, and afterwards if no answer is kept.
	answer *Answer
	// done is set when the request has ended.
	done bool
	// expires is the time from the start of the incarnation to the removal of the record. It
	// is set when the request ends.
	expires time.Duration
	// digest identifies the request that the ticket was spent for.
	digest [sha256.Size]byte
}

// Spender issues the tickets of one incarnation and records which were spent. It is not safe for
// concurrent use.
type Spender struct {
	config Config
	start  time.Time
	// issuedCount is the number of tickets issued, and the number of the next ticket.
	issuedCount uint64
	// spentBits has one bit per ticket number, set when the ticket is spent.
	spentBits []uint64
	// records maps the numbers of spent tickets to their records until they expire.
	records map[uint64]*record
	// finished lists the ticket numbers of finished records, oldest first.
	finished []uint64
	// answerBytes is the total size of the bodies of all kept answers.
	answerBytes int
}

// New returns a spender that has issued no ticket. Now is the start of the incarnation.
func New(now time.Time, config Config) *Spender {
	return &Spender{config: config, start: now, records: map[uint64]*record{}}
}

// ExhaustedError reports that an incarnation has issued the maximum number of tickets.
type ExhaustedError struct{ Limit uint64 }

func (e ExhaustedError) Error() string {
	return fmt.Sprintf("all %d tickets of this incarnation have been issued", e.Limit)
}

// Issue creates a ticket and returns its text. Nothing is stored for a ticket until it is spent.
// The error is an ExhaustedError when no more tickets can be issued.
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

// sign returns the truncated HMAC-SHA256 of the entry's name and a ticket's payload.
func (s *Spender) sign(raw []byte) [macSize]byte {
	h := hmac.New(sha256.New, s.config.Secret)
	h.Write([]byte(s.config.Name))
	h.Write(raw)
	var mac [macSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

// isGenuine reports whether this incarnation issued the ticket, by its signature.
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

// TicketReusedError reports that a ticket was already spent for a request with another digest.
type TicketReusedError struct{}

func (TicketReusedError) Error() string { return "ticket: spent for another request" }

// Spend presents a ticket for the request with the given digest, which must cover everything that
// distinguishes requests. If the result is Spent, the caller must run the request and then call
// Finish, or Unspend if it did not run. The answer is set only for Repeat. The error is a
// MismatchError if the ticket was spent for another request whose record is still kept.
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
		return Ran, nil, TicketReusedError{}
	case found && !r.done:
		return InProgress, nil, nil
	case found && r.answer != nil:
		return Repeat, r.answer, nil
	}
	return Ran, nil, nil
}

// Finish records that the request of a spent ticket has ended, and keeps its answer. If the answer
// is nil or larger than Config.MaxAnswerBytes, only the fact that the request ran is kept.
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

// Unspend makes a spent ticket usable again. It must be called only if the request is known not to
// have run.
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

// evictAnswers drops the oldest answers until the total size is within Config.MaxAnswerBytes.
func (s *Spender) evictAnswers() {
	for _, number := range s.finished {
		if s.answerBytes <= s.config.MaxAnswerBytes {
			return
		}
		s.dropAnswer(number)
	}
}

// dropAnswer drops the answer of a record but keeps the record.
func (s *Spender) dropAnswer(number uint64) {
	r := s.records[number]
	if r.answer == nil {
		return
	}
	s.answerBytes -= len(r.answer.Body)
	r.answer = nil
}

// removeExpired removes records past their TTL. Their bits in spentBits remain set, so the tickets
// stay spent.
func (s *Spender) removeExpired(now time.Time) {
	age := now.Sub(s.start)
	for len(s.finished) > 0 && s.records[s.finished[0]].expires < age {
		s.dropAnswer(s.finished[0])
		delete(s.records, s.finished[0])
		s.finished = s.finished[1:]
	}
}

// KeptRecords returns the number of records and the total size in bytes of the kept answers.
func (s *Spender) KeptRecords() (records, bytes int) { return len(s.records), s.answerBytes }
