package server

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"time"

	"go.uber.org/zap"

	"github.com/sapphireramp/sapphireramp/api"
	"github.com/sapphireramp/sapphireramp/decoder"
	"github.com/sapphireramp/sapphireramp/sleeper"
	"github.com/sapphireramp/sapphireramp/validator"
)

const (
	// Mean delays between two reads of one path of the platform: minBackoff after a successful read; after
	// failed reads twice minBackoff, doubling up to maxBackoff. The actual delay is random, 0.5 to 1.5 times
	// the mean. minBackoff also limits an entry to about five reads of a path per second.
	minBackoff = 200 * time.Millisecond
	maxBackoff = 5 * time.Second
	// watchSlack is added to the setting Timing.Watch, the time for which a read waits at the platform for a
	// change, to get the timeout of the read.
	watchSlack = 2 * time.Second
)

// watchConfig reads the configuration document from the platform whenever it changes there, until the context
// ends, and offers it to the adopter.
func (s *Server) watchConfig(ctx context.Context) {
	s.watchPath(ctx, api.PathConfig, func(data []byte, err error) {
		if err == nil && data != nil {
			s.receiveDocument(data, sourcePlatform)
		}
		s.onControl(func(c *control) { c.recordSourceTried(sourcePlatform) })
	})
}

// watchInstances reads the instance list from the platform whenever it changes there, until the context ends,
// and offers it to the lister. A read without a change confirms the list in use.
func (s *Server) watchInstances(ctx context.Context) {
	s.watchPath(ctx, api.PathInstances, func(data []byte, err error) {
		if err != nil {
			return
		}
		s.onControl(func(c *control) { c.offerInstanceList(time.Now(), data, 0) })
	})
}

// watchPath reads a path of the platform repeatedly until the context ends. Each read but the first waits at
// the platform for a change, for up to Timing.Watch. After each read, watchPath calls handle with the data,
// nil if nothing changed, or with the error.
func (s *Server) watchPath(ctx context.Context, path string, handle func([]byte, error)) {
	etag, backoff := "", minBackoff
	for ctx.Err() == nil {
		data, tag, err := s.readPlatform(ctx, path, etag)
		s.metrics.platformReads.Inc(1)
		if ctx.Err() != nil {
			return
		}
		handle(data, err)
		if err != nil {
			s.logs.entry.Warn("platform", zap.String("path", path), zap.Error(err))
			backoff = min(2*backoff, maxBackoff)
		} else {
			etag, backoff = tag, minBackoff
		}
		// The jitter keeps entries whose reads failed at the same time from reading at the same time again.
		if !sleeper.Sleep(ctx, backoff/2+time.Duration(rand.Int64N(int64(backoff)))) {
			return
		}
	}
}

func (s *Server) readPlatform(ctx context.Context, path, etag string) ([]byte, string, error) {
	wait := s.settings.Timing.Watch
	ctx, cancel := context.WithTimeout(ctx, wait+watchSlack)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+s.settings.Platform.String()+path, nil)
	if err != nil {
		return nil, "", fmt.Errorf("build read request: %w", err)
	}
	if etag != "" {
		request.Header.Set("If-None-Match", etag)
		request.Header.Set("Prefer", fmt.Sprintf("wait=%d", max(1, int(wait.Seconds()))))
	}
	response, err := s.platformClient.Do(request)
	if err != nil {
		return nil, "", fmt.Errorf("read platform: %w", err)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode == http.StatusNotModified {
		return nil, etag, nil
	}
	if response.StatusCode != http.StatusOK {
		return nil, "", fmt.Errorf("read platform: status %d", response.StatusCode)
	}
	data, err := decoder.ReadAll(response.Body, validator.MaxDocumentSize)
	if err != nil {
		return nil, "", fmt.Errorf("read platform: %w", err)
	}
	return data, response.Header.Get("ETag"), nil
}
