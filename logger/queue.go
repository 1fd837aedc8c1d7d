package logger

import (
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// queueCapacity is the maximum number of queued lines; at 300 bytes per line
	// they take about 300 KB.
	queueCapacity = 1024
	// ordinaryCapacity is the number of queued lines from which on lines below the
	// level warn are dropped. The rest of the queue is reserved for warnings and
	// errors, of which a failed request logs two or three.
	ordinaryCapacity = queueCapacity * 3 / 4
)

// Queue is an io.Writer for log lines whose writes never block. A goroutine writes
// the queued lines to an output, which may be slow. Lines that do not fit into the
// queue are dropped, and their number is logged. A Queue is safe for concurrent
// use.
type Queue struct {
	output io.Writer
	lines  chan []byte
	// dropped counts the lines dropped since the last log_lines_dropped line.
	dropped atomic.Int64
	// closing is closed to stop writeLoop, done when it has returned.
	closing, done chan struct{}
}

// NewQueue returns a queue that writes to output. The queue must be closed.
func NewQueue(output io.Writer) *Queue {
	q := &Queue{output: output, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go q.writeLoop()
	return q
}

// Write queues a copy of one line below the level warn, or drops and counts the
// line if the queue is three quarters full. It never returns an error.
func (q *Queue) Write(line []byte) (int, error) {
	if len(q.lines) >= ordinaryCapacity {
		q.dropped.Add(1)
		return len(line), nil
	}
	return q.enqueue(line)
}

// WarningWriter returns a writer that queues lines of warnings and errors. It drops
// and counts a line only if the queue is full.
func (q *Queue) WarningWriter() io.Writer { return warningWriter{q} }

// warningWriter is the io.Writer returned by WarningWriter.
type warningWriter struct{ queue *Queue }

func (w warningWriter) Write(line []byte) (int, error) { return w.queue.enqueue(line) }

// enqueue queues a copy of a line, or drops and counts it if the queue is full.
func (q *Queue) enqueue(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

// writeLoop writes queued lines to the output until closing is closed, and then
// those that are still queued.
func (q *Queue) writeLoop() {
	defer close(q.done)
	for {
		select {
		case line := <-q.lines:
			q.writeLine(line)
		case <-q.closing:
			q.drainQueue()
			return
		}
	}
}

// drainQueue writes as many lines as the queue holds when it is called, not
// until it is empty: goroutines may still add lines.
func (q *Queue) drainQueue() {
	for range len(q.lines) {
		q.writeLine(<-q.lines)
	}
}

// writeLine writes a line to the output. If lines were dropped since the last call,
// it also writes a line log_lines_dropped with their number.
func (q *Queue) writeLine(line []byte) {
	_, _ = q.output.Write(line) // a failed write of the log can't be reported anywhere
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = q.output.Write([]byte("level=warn layer=entry event=log_lines_dropped count=" + strconv.FormatInt(n, 10) + "\n"))
	}
}

// Close writes the queued lines to the output and ends the queue's goroutine. It must be called exactly
// once. Lines written after Close never reach the output, but cause no error: operations that still run
// when a process exits may log.
func (q *Queue) Close() error {
	close(q.closing)
	<-q.done
	return nil
}
