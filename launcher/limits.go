package launcher

import (
	"github.com/sapphireramp/sapphireramp/acceptor"
	"github.com/sapphireramp/sapphireramp/accountant"
)

// applyLimits sets the limits of the account, the heap, connections and tunnels that follow from settings.
func (l *Launcher) applyLimits(s Settings) {
	l.config.Account.SetLimit(accountant.LimitFor(s.MemoryLimit))
	if s.MemoryLimit > 0 && l.config.SetHeapLimit != nil {
		l.config.SetHeapLimit(accountant.HeapLimit(s.MemoryLimit))
	}
	descriptors := s.MaxDescriptors
	if descriptors <= 0 {
		descriptors = acceptor.SystemDescriptors()
	}
	l.acceptor.SetMaxConnections(acceptor.MaxConnections(descriptors))
	l.tunneler.SetMaxServed(acceptor.MaxTunnels(descriptors))
}

// clientLimits returns what the current configuration allows clients.
func (l *Launcher) clientLimits() acceptor.Limits {
	t := l.controller.View().Table
	if t == nil {
		return acceptor.Limits{}
	}
	limits := t.Config.Limits
	return acceptor.Limits{HeadBytes: limits.HeaderBytes, HeadTimeout: limits.HeaderTimeout, IdleTimeout: limits.IdleTimeout}
}
