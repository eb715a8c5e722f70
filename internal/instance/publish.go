package instance

import (
	"github.com/tarragonwell/tarragonwell/internal/caller"
	"github.com/tarragonwell/tarragonwell/internal/service"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
)

// announceVersions passes to the gossip task the version of the rules in force, the
// position processed so far, which includes refused rules, and the addresses of the
// listed instances. A new rules revision is gossiped immediately; the list revision is
// gossiped together with the confirmations by the platform.
func (rc *reconciler) announceVersions(st *reconcilerState) {
	position := tarragonwell.PlatformPosition{
		Rules: st.processedVersion(),
		List:  st.list.Position(),
	}
	push := !position.Rules.Equal(st.announced.Rules)
	st.announced = position
	rc.peers.SetVersions(st.version(), position, push)
	var addresses []string
	for _, i := range st.list.Instances() {
		addresses = append(addresses, i.PeerAddress)
	}
	rc.peers.SetListedAddresses(addresses)
}

// publish replaces the snapshot.
func (rc *reconciler) publish(st *reconcilerState) {
	snap := &snapshot{
		services:  map[string]*service.Dispatcher{},
		refusal:   st.refusal,
		list:      st.list.Position(),
		instances: st.list.Instances(),
		drains:    st.drains,
	}
	if st.rules != nil {
		snap.routing = rc.buildRouting(st, snap.services)
	}
	rc.snapshot.Store(snap)
}

// buildRouting returns the routing for the rules in force, and adds the running services
// to services. The current routing is reused if the rules are the same.
func (rc *reconciler) buildRouting(st *reconcilerState, services map[string]*service.Dispatcher) *caller.Routing {
	dispatchers := map[string]tarragonwell.Dispatcher{}
	for name, r := range st.running {
		services[name] = r.dispatcher
		dispatchers[name] = r.dispatcher
	}
	if old := rc.Routing(); old != nil && old.Rules == st.rules {
		return old
	}
	return caller.NewRouting(st.rules, dispatchers, rc.common.Metrics)
}
