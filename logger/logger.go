// Package logger creates the loggers of sapphireramp. Each event is one logfmt
// line. Every layer of the program has its own logger, and layers can be left
// out of the log.
package logger

import (
	"fmt"
	"io"
	"slices"
	"time"

	zaplogfmt "github.com/jsternberg/zap-logfmt"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// Names of the layers of the program, as they appear in the log.
const (
	// LayerEntry covers the start, the end and the faults of a process, the ends of requests, and the calls to
	// the platform. An entry on the users' platform logs all its events in this layer.
	LayerEntry = "entry"
	// LayerRouter covers the choice of upstreams and the attempts of requests.
	LayerRouter = "route"
	// LayerKeeper covers the engines whose memory an entry grants, and the reservations there.
	LayerKeeper = "keep"
	// LayerMembers covers the states of other entries, as seen by the entry that logs.
	LayerMembers = "members"
	// LayerDocument covers the configuration document.
	LayerDocument = "document"
)

// Layers lists the names of all layers.
var Layers = []string{LayerEntry, LayerRouter, LayerKeeper, LayerMembers, LayerDocument}

// Config configures the loggers.
type Config struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string
	// Layers names the layers that are logged; empty means all.
	Layers []string
	// Output receives the lines below the level warn.
	Output io.Writer
	// WarnOutput receives warnings and errors; nil means Output.
	WarnOutput io.Writer
}

// Loggers holds the loggers of all layers.
type Loggers struct {
	root *zap.Logger
	// layers names the layers that are logged; empty means all.
	layers []string
}

// UnknownLayerError is returned if Config.Layers contains a name that is not in
// Layers.
type UnknownLayerError struct{ Layer string }

func (e UnknownLayerError) Error() string {
	return fmt.Sprintf("Log.Layers: %q: must be one of %v", e.Layer, Layers)
}

// New returns the loggers for a configuration. The error is an
// UnknownLayerError for an unknown layer; an unknown level is an error too.
func New(c Config) (*Loggers, error) {
	level, err := zapcore.ParseLevel(c.Level)
	if err != nil {
		return nil, fmt.Errorf("parse log level: %w", err)
	}
	for _, l := range c.Layers {
		if !slices.Contains(Layers, l) {
			return nil, UnknownLayerError{Layer: l}
		}
	}
	encoding := zapcore.EncoderConfig{
		TimeKey:        "time",
		LevelKey:       "level",
		NameKey:        "layer",
		MessageKey:     "event",
		EncodeLevel:    zapcore.LowercaseLevelEncoder,
		EncodeTime:     zapcore.TimeEncoderOfLayout(time.RFC3339Nano),
		EncodeDuration: zapcore.MillisDurationEncoder,
		EncodeName:     zapcore.FullNameEncoder,
	}
	if c.WarnOutput == nil {
		c.WarnOutput = c.Output
	}
	belowWarn := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l < zapcore.WarnLevel })
	warnAndAbove := zap.LevelEnablerFunc(func(l zapcore.Level) bool { return l >= level && l >= zapcore.WarnLevel })
	core := zapcore.NewTee(
		zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(c.Output)), belowWarn),
		zapcore.NewCore(zaplogfmt.NewEncoder(encoding), zapcore.Lock(zapcore.AddSync(c.WarnOutput)), warnAndAbove),
	)
	return &Loggers{root: zap.New(core), layers: c.Layers}, nil
}

// Layer returns the logger of the layer with a name. The logger writes nothing
// if the layer is left out of the log.
func (l *Loggers) Layer(name string) *zap.Logger {
	if len(l.layers) > 0 && !slices.Contains(l.layers, name) {
		return zap.NewNop()
	}
	return l.root.Named(name)
}
