// Package spender issues and checks the tickets by which a request runs at most once. A caller
// obtains a ticket and sends it with the request; the first such request spends the ticket. Only the
// incarnation of the entry that issued a ticket can accept it: which tickets were spent is recorded
// in that process's memory alone, and a ticket becomes invalid when the incarnation ends.
//
// Tickets are numbered and one bit per ticket records whether it was spent, until the incarnation
// ends. The answer to a finished request is kept for Config.TicketTTL, in bounded memory, and is
// sent again to a caller that repeats the request with the same ticket.
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
	// maxTickets is the maximum number of tickets that one incarnation issues. One bit is kept for
	// each, 1 MiB in all.
	maxTickets = 8 << 20
	// maxRecords is the maximum number of records of requests that have ended; beyond it, those that ended first are
	// removed before their time.
	maxRecords = 1 << 17
	// macSize is the length in bytes of a ticket's truncated HMAC-SHA256.
	macSize = 16
	// payloadSize is the length in bytes of the fields encoded in a ticket before its signature:
	// incarnation, number and time of issue.
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
	// mac is the signature that the ticket carries, see Spender.sign.
	mac [macSize]byte
}

// MalformedTicketError reports that a text can't be decoded as a ticket.
type MalformedTicketError struct{ Reason string }

func (e MalformedTicketError) Error() string { return "malformed ticket: " + e.Reason }

// ParseTicket decodes the text of a ticket without verifying it. The error is a MalformedTicketError.
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
	// TicketTTL is the time after issue within which a ticket can be spent, and the time after the
	// end of a request for which its record and answer are kept.
	TicketTTL time.Duration
	// MaxAnswerBytes is the maximum total size in bytes of the bodies of all kept answers.
	MaxAnswerBytes int
	// Secret is the key that signs tickets. Each incarnation chooses it at random and never stores
	// or sends it.
	Secret []byte
}

// SpendResult is the result of presenting a ticket with a request.
type SpendResult int

// The results of Spend.
const (
	// Spent means that this call of Spend spent the ticket, so the request must be run now. Of
	// several calls with one ticket, only one returns Spent, unless Unspend is called between them.
	Spent SpendResult = iota
	// InProgress means that an earlier call of Spend spent the ticket and that its request is still
	// running.
	InProgress
	// Repeat means that the request of the ticket has ended and that its answer is returned, to be
	// sent again.
	Repeat
	// Ran means that the ticket was spent and its request ran or may have run, but that no answer is
	// available: none was kept, or the ticket was spent for another request.
	Ran
	// Expired means that the ticket was not spent within Config.TicketTTL, so no request ran with it.
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
	// Outcome is the value of the header api.HeaderOutcome.
	Outcome string
	Body    []byte
}

// record is the state of a spent ticket, from Spend until Config.TicketTTL after the end of the
// request.
type record struct {
	// answer is nil while the request is running, and afterwards if no answer is kept.
	answer *Answer
	// done is set when the request has ended.
	done bool
	// expires is the time from the start of the incarnation to the expiry of the record; 0 until
	// the request ends.
	expires time.Duration
	// digest is the SHA-256 digest, passed to Spend, of the request that the ticket was spent for.
	digest [sha256.Size]byte
}

// Spender issues the tickets of one incarnation and records which were spent. It is not safe for
// concurrent use.
type Spender struct {
	config Config
	start  time.Time
	// issuedCount is the number of tickets issued. As tickets are numbered from 0, it is also the
	// number of the next ticket.
	issuedCount uint64
	// spentBits has one bit per ticket number, set when the ticket is spent.
	spentBits []uint64
	// records holds the records that have not expired, by ticket number.
	records map[uint64]*record
	// finished lists the ticket numbers of the records whose request has ended, earliest end first.
	finished []uint64
	// answered lists those whose answer is kept, in the same order. answerBytes is the total size of the bodies of these
	// answers.
	answered    []uint64
	answerBytes int
}

// New returns a spender that has issued no ticket. Now is the time from which the age of tickets and
// records is measured.
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

// sign returns the signature of a ticket: the first macSize bytes of the HMAC-SHA256 of the entry's
// name and the ticket's payload, by Config.Secret.
func (s *Spender) sign(raw []byte) [macSize]byte {
	h := hmac.New(sha256.New, s.config.Secret)
	h.Write([]byte(s.config.Name))
	h.Write(raw)
	var mac [macSize]byte
	copy(mac[:], h.Sum(nil))
	return mac
}

// isGenuine reports whether this incarnation issued the ticket: its owner and incarnation are those
// of the configuration and its signature is valid.
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

// Spend spends a ticket for a request, or reports what became of the ticket before. The digest must
// cover all content that distinguishes one request from another. After Spent, the request must be run
// and then Finish be called, or Unspend if the request did not run. The answer is set only for
// Repeat. The error is a TicketReusedError if the ticket was spent for a request with another digest
// and the record of that request has not expired.
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

// Finish records that the request of a spent ticket has ended, and keeps its answer, for which it may
// drop older ones. If the answer is nil or its body larger than Config.MaxAnswerBytes, only the fact
// that the request ran is kept. Finish does nothing if the ticket is not spent or Finish was called
// for it before.
func (s *Spender) Finish(now time.Time, t Ticket, answer *Answer) {
	r, ok := s.records[t.number]
	if !ok || r.done {
		return
	}
	r.done = true
	r.expires = now.Sub(s.start) + s.config.TicketTTL
	s.finished = append(s.finished, t.number)
	if len(s.finished) > maxRecords {
		s.removeFirst()
	}
	if answer == nil || len(answer.Body) > s.config.MaxAnswerBytes {
		return
	}
	r.answer = answer
	s.answered = append(s.answered, t.number)
	s.answerBytes += len(answer.Body)
	for s.answerBytes > s.config.MaxAnswerBytes {
		s.dropFirstAnswer()
	}
}

// Unspend makes a spent ticket usable again. It must be called only if the ticket's request certainly
// did not run. It does nothing if the ticket is not spent or Finish was called for it.
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

// dropFirstAnswer removes the answer that was kept first from its record, which stays.
func (s *Spender) dropFirstAnswer() {
	r := s.records[s.answered[0]]
	s.answerBytes -= len(r.answer.Body)
	r.answer, s.answered = nil, s.answered[1:]
}

// removeExpired removes the records of requests that ended more than Config.TicketTTL ago. Their bits
// in spentBits remain set, so the tickets stay spent.
func (s *Spender) removeExpired(now time.Time) {
	age := now.Sub(s.start)
	for len(s.finished) > 0 && s.records[s.finished[0]].expires < age {
		s.removeFirst()
	}
}

// removeFirst removes the record of the request that ended first.
func (s *Spender) removeFirst() {
	number := s.finished[0]
	if s.records[number].answer != nil {
		s.dropFirstAnswer()
	}
	delete(s.records, number)
	s.finished = s.finished[1:]
}

// KeptRecords returns the number of records, including those of running requests, and the total size
// in bytes of the bodies of the kept answers.
func (s *Spender) KeptRecords() (records, bytes int) { return len(s.records), s.answerBytes }
