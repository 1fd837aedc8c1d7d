package worker

import (
	"encoding/json"
	"net/http"
)

// serveOrder reserves memory under a ticket or releases it. A worker with
// FaultFull refuses both.
func (w *Worker) serveOrder(response http.ResponseWriter, body []byte) {
	var order struct {
		Operation string `json:"operation"`
		ID        string `json:"id"`
		Tokens    int    `json:"token-count"`
	}
	if err := json.Unmarshal(body, &order); err != nil {
		response.WriteHeader(http.StatusBadRequest)
		return
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	switch {
	case w.fault == FaultFull:
		response.WriteHeader(http.StatusConflict)
	case order.Operation == "reserve":
		w.reservations[order.ID] = order.Tokens
	case order.Operation == "release":
		delete(w.reservations, order.ID)
	default:
		response.WriteHeader(http.StatusBadRequest)
	}
}

// MarkTicketUsed makes reports show the memory reserved under a ticket as used by
// a request, rather than held for one.
func (w *Worker) MarkTicketUsed(ticket string) {
	w.lock.Lock()
	defer w.lock.Unlock()
	w.usedTickets[ticket] = true
}

// serveReport responds with the tickets under which memory is reserved, the tokens
// of each and whether it is held or used.
func (w *Worker) serveReport(response http.ResponseWriter) {
	type ticket struct {
		ID     string `json:"id"`
		Tokens int    `json:"token-count"`
		State  string `json:"state"`
	}
	w.lock.Lock()
	defer w.lock.Unlock()
	tickets := []ticket{}
	for id, tokens := range w.reservations {
		state := "held"
		if w.usedTickets[id] {
			state = "used"
		}
		tickets = append(tickets, ticket{ID: id, Tokens: tokens, State: state})
	}
	response.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(response).Encode(struct {
		Tickets []ticket `json:"tickets"`
	}{tickets})
}
