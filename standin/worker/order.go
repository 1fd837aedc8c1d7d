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
	case w.fault == Full:
		out.WriteHeader(http.StatusConflict)
	case o.Operation == "reserve":
		w.orders[o.ID] = o.Tokens
	case o.Operation == "release":
		delete(w.orders, o.ID)
	default:
		out.WriteHeader(http.StatusBadRequest)
	}
}
