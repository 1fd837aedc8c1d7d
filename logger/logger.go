// Package logger creates the loggers of sapphireramp, which write each event as
// one line in logfmt. The program is divided into layers; every layer has its own
// logger, and Config.Layers selects the layers that are logged.
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
	// LayerEntry is the layer of the start, the end and the faults of an entry, of the ends of requests and of
	// calls to the platform. An entry that package launcher runs logs all its events in this layer.
	LayerEntry = "entry"
	// LayerRouter is the layer of the choice of upstreams and of the attempts of requests.
	LayerRouter = "route"
	// LayerKeeper is the layer of the engines whose memory an entry grants, and of the reservations there.
	LayerKeeper = "keep"
	// LayerMembers is the layer of changes in the states of other entries, as seen by the entry that logs.
	LayerMembers = "members"
	// LayerDocument is the layer of changes of the configuration document.
	LayerDocument = "document"
)

// Layers lists the names of all layers.
var Layers = []string{LayerEntry, LayerRouter, LayerKeeper, LayerMembers, LayerDocument}

// Config configures the loggers.
type Config struct {
	// Level is the lowest level that is logged: debug, info, warn or error.
	Level string
	// Layers holds the names of the layers that are logged; all layers are logged if it is empty.
	Layers []string
	// Output receives the lines with a level below warn.
	Output io.Writer
	// WarnOutput receives the lines with the level warn or above. If it is nil, Output receives them too.
	WarnOutput io.Writer
}

// Loggers holds the loggers of all layers.
type Loggers struct {
	root *zap.Logger
	// layers is Config.Layers.
	layers []string
}

// UnknownLayerError is returned by New if Config.Layers contains a name, Layer,
// that is not in the variable Layers.
type UnknownLayerError struct{ Layer string }

func (e UnknownLayerError) Error() string {
	return fmt.Sprintf("Log.Layers: %q: must be one of %v", e.Layer, Layers)
}

// New returns the loggers for a configuration. It returns an UnknownLayerError
// for an unknown layer, and another error for an unknown level.
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
// if Config.Layers is not empty and lacks the layer.
func (l *Loggers) Layer(name string) *zap.Logger {
	if len(l.layers) > 0 && !slices.Contains(l.layers, name) {
		return zap.NewNop()
	}
	return l.root.Named(name)
}
