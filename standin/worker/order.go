package worker

import (
	"encoding/json"
	"net/http"
)

// order sets memory aside or gives it back.
func (w *Worker) order(out http.ResponseWriter, body []byte) {
	var o struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"token-count"`
	}
	if err := json.Unmarshal(body, &o); err != nil {
		out.WriteHeader(http.StatusBadRequest)
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case w.fault == FaultFull:
		out.WriteHeader(http.StatusConflict)
	case o.Operation == "reserve":
		w.orders[o.ID] = o.Tokens
	case o.Operation == "release":
		delete(w.orders, o.ID)
	default:
		out.WriteHeader(http.StatusBadRequest)
	}
}

// MarkTicketUsed marks a ticket as used by a request.
func (w *Worker) MarkTicketUsed(ticket string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.used[ticket] = true
}

// report says what memory is set aside.
func (w *Worker) report(out http.ResponseWriter) {
	type ticket struct {
		ID     string `json:"id"`
		Tokens int    `json:"token-count"`
		State  string `json:"state"`
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	tickets := []ticket{}
	for id, tokens := range w.orders {
		state := "held"
		if w.used[id] {
			state = "used"
		}
		tickets = append(tickets, ticket{ID: id, Tokens: tokens, State: state})
	}
	out.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(out).Encode(struct {
		Tickets []ticket `json:"tickets"`
	}{tickets})
}
