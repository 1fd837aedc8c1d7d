// Package service emulates a plain service, an upstream that runs no model, for
// tests and the demo. It records every execution of a call.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Execution is the record of one execution of a call.
type Execution struct {
	// RequestID is the value of the header api.HeaderRequestID.
	RequestID string
	// Call is the name of the call, from the path.
	Call string
	// Body is the body of the request, cut off after 1 MiB.
	Body string
}

// Server emulates one service. Its exported fields must not change while a request
// is being served.
type Server struct {
	// Name is the service's name in request paths; requests for other names are
	// refused with 400.
	Name string
	// Delay is the time from the arrival of a call to its answer.
	Delay time.Duration

	// lock guards executions.
	lock sync.Mutex
	// executions holds all executions since the start, oldest first.
	executions []Execution
}

// Handler returns the service's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathServices+"{service}/{call}", s.serveCall)
	mux.HandleFunc("GET /control/executions", s.serveExecutions)
	return mux
}

// serveCall records an execution of a call and, after Delay, responds with the
// request ID and the name of the call. A refusal states that nothing was started.
func (s *Server) serveCall(w http.ResponseWriter, r *http.Request) {
	body, err := io.ReadAll(io.LimitReader(r.Body, 1<<20))
	if err != nil || r.PathValue("service") != s.Name {
		w.Header().Set(api.HeaderStarted, "false")
		w.WriteHeader(http.StatusBadRequest)
		return
	}
	execution := Execution{RequestID: r.Header.Get(api.HeaderRequestID), Call: r.PathValue("call"), Body: string(body)}
	s.lock.Lock()
	s.executions = append(s.executions, execution)
	s.lock.Unlock()
	time.Sleep(s.Delay)
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(struct {
		Executed string `json:"executed"`
		Call     string `json:"call"`
	}{execution.RequestID, execution.Call})
}

// Executions returns the records of all executions, oldest first.
func (s *Server) Executions() []Execution {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]Execution(nil), s.executions...)
}

// serveExecutions responds with all executions as JSON.
func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.executions)
}
