package logger

import (
	"io"
	"strconv"
	"sync/atomic"
)

const (
	// queueCapacity is how many lines wait for a slow reader of the log; at 300
	// bytes a line they take about 300 KB.
	queueCapacity = 1024
	// ordinaryCapacity is how many of them may be ordinary: the rest is kept for
	// warnings and errors, of which a failed request has two or three.
	ordinaryCapacity = queueCapacity * 3 / 4
)

// Queue is a writer that never blocks: lines wait in a bounded queue for a
// slow output, and those beyond it are dropped and counted.
type Queue struct {
	output  io.Writer
	lines   chan []byte
	dropped atomic.Int64
	// closing is closed to have the queue end, done once it has.
	closing, done chan struct{}
}

// NewQueue returns a queue before an output, and starts to write.
func NewQueue(output io.Writer) *Queue {
	q := &Queue{output: output, lines: make(chan []byte, queueCapacity), closing: make(chan struct{}), done: make(chan struct{})}
	go q.writeLoop()
	return q
}

// Write queues a copy of one ordinary line.
func (q *Queue) Write(line []byte) (int, error) {
	if len(q.lines) >= ordinaryCapacity {
		q.dropped.Add(1)
		return len(line), nil
	}
	return q.enqueue(line)
}

// PriorityWriter returns a writer whose lines are dropped last.
func (q *Queue) PriorityWriter() io.Writer { return priorityWriter{q} }

type priorityWriter struct{ queue *Queue }

func (u priorityWriter) Write(line []byte) (int, error) { return u.queue.enqueue(line) }

func (q *Queue) enqueue(line []byte) (int, error) {
	select {
	case q.lines <- append([]byte(nil), line...):
	default:
		q.dropped.Add(1)
	}
	return len(line), nil
}

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

// drainQueue writes as many lines as are queued: others may go on writing.
func (q *Queue) drainQueue() {
	for range len(q.lines) {
		q.writeLine(<-q.lines)
	}
}

func (q *Queue) writeLine(line []byte) {
	_, _ = q.output.Write(line) // there is nowhere left to report it
	if n := q.dropped.Swap(0); n > 0 {
		_, _ = q.output.Write([]byte("level=warn layer=entry event=log_lines_dropped count=" + strconv.FormatInt(n, 10) + "\n"))
	}
}

// Close writes what is queued. Lines that come later are dropped: what is still under way as a process
// ends may log. It is called once.
func (q *Queue) Close() error {
	close(q.closing)
	<-q.done
	return nil
}
