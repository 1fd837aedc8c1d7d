package isolator

import (
	"strings"
	"time"

	"go.uber.org/zap"
)

// LogDecisions logs decisions.
func LogDecisions(log *zap.Logger, now time.Time, decisions []Decision) {
	for _, d := range decisions {
		switch d.Kind {
		case Suspected:
			log.Warn("part_suspected", d.logFields(now)...)
		case Cleared:
			log.Info("part_cleared", d.logFields(now)...)
		case Quarantined:
			log.Warn("part_quarantined", d.logFields(now)...)
		case Released:
			log.Warn("part_released", d.logFields(now)...)
		}
	}
}

// logFields returns the log fields of a decision.
func (d Decision) logFields(now time.Time) []zap.Field {
	fields := []zap.Field{zap.String("part", JoinParts(d.Parts)), zap.Int("crashes", d.Crashes), zap.Float64("chance", d.Probability), zap.Duration("age_ms", now.Sub(d.FirstCrash)), zap.String("source", d.Source)}
	if !d.Until.IsZero() {
		fields = append(fields, zap.Duration("left_ms", d.Until.Sub(now)))
	}
	return fields
}

// JoinParts returns parts as they are logged, separated by commas.
func JoinParts(parts []Part) string {
	texts := make([]string, len(parts))
	for i, p := range parts {
		texts[i] = p.String()
	}
	return strings.Join(texts, ",")
}
