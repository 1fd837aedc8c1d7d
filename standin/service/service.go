// Package service is a stand-in for a plain service beside the engines, for
// tests and the demo. It records every execution.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/sapphireramp/sapphireramp/api"
)

// Execution of a call.
type Execution struct {
	RequestID string
	Call      string
	Body      string
}

// Server is a service whose every call takes Delay.
type Server struct {
	Name  string
	Delay time.Duration

	lock       sync.Mutex
	executions []Execution
}

// Handler returns the service's HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST "+api.PathServices+"{service}/{call}", s.serveCall)
	mux.HandleFunc("GET /control/executions", s.serveExecutions)
	return mux
}

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

// Executions lists what was run.
func (s *Server) Executions() []Execution {
	s.lock.Lock()
	defer s.lock.Unlock()
	return append([]Execution(nil), s.executions...)
}

func (s *Server) serveExecutions(w http.ResponseWriter, _ *http.Request) {
	s.lock.Lock()
	defer s.lock.Unlock()
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.executions)
}
