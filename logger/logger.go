// Package logger makes the product's loggers: one logfmt line an event, one
// logger for each layer, and layers that can be left out.
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

// Layers of the product that log.
const (
	LayerEntry    = "entry"
	LayerRouter   = "route"
	LayerKeeper   = "keep"
	LayerMembers  = "members"
	LayerDocument = "document"
)

// Layers lists all layers.
var Layers = []string{LayerEntry, LayerRouter, LayerKeeper, LayerMembers, LayerDocument}

// Config of the loggers.
type Config struct {
	// Level is debug, info, warn or error.
	Level string
	// Layers that log; empty means all.
	Layers []string
	Output io.Writer
	// WarnOutput takes warnings and errors; nil means Output.
	WarnOutput io.Writer
}

// Loggers holds a logger for each layer.
type Loggers struct {
	root   *zap.Logger
	layers []string
}

// UnknownLayerError names a layer that does not exist.
type UnknownLayerError struct{ Layer string }

func (e UnknownLayerError) Error() string {
	return fmt.Sprintf("Log.Layers: %q: must be of %v", e.Layer, Layers)
}

// New returns the loggers.
func New(c Config) (*Loggers, error) {
	level, err := zapcore.ParseLevel(c.Level)
	if err != nil {
		return nil, fmt.Errorf("log level: %w", err)
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

// Layer returns the logger of a layer; it drops everything where the layer
// is left out.
func (l *Loggers) Layer(name string) *zap.Logger {
	if len(l.layers) > 0 && !slices.Contains(l.layers, name) {
		return zap.NewNop()
	}
	return l.root.Named(name)
}
