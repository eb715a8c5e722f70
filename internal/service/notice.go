package service

import (
	"time"

	"github.com/tarragonwell/tarragonwell/internal/target"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell"
	"github.com/tarragonwell/tarragonwell/pkg/tarragonwell/scheduling"
)

// leavingAnnouncementTTL is how long an announcement that a target is leaving is
// effective at the peers.
const leavingAnnouncementTTL = 2 * time.Minute

// handleNotice applies what a target stated about itself in a response.
func (dr *Dispatcher) handleNotice(now time.Time, st *state, r target.NoticeReport) {
	if r.Notice.Ignored != "" {
		dr.options.Common.RoutineLogger().Warn("target-header-ignored", "service", st.serviceRule.Name, "target", r.ID, "reason", r.Notice.Ignored)
	}
	if r.Notice.Leaving {
		dr.recordLeaving(now, st, r)
	}
	if r.Notice.RetryAfter > 0 {
		dr.recordBackoff(now, st, r)
	}
	if r.Notice.WarmUpStated {
		st.scheduler.RecordWarmUp(now, r.ID, r.Born, r.Notice.WarmUpRemaining)
	}
	st.restrictTarget(r.ID)
}

// logWarmUpLimit logs if the limit on calls to targets that are warming up does not do what
// the rule asks for.
func (dr *Dispatcher) logWarmUpLimit(st *state) {
	if err := st.scheduler.CheckWarmUp(); err != nil {
		dr.options.Common.Log.Warn("warm-up-limit", "service", st.serviceRule.Name, "rate", st.serviceRule.WarmUpRate, "error", err)
	}
}

// logWarmUps logs the targets that have begun or ended their warm-up since the last check,
// in services that limit the calls to such targets.
func (dr *Dispatcher) logWarmUps(st *state) {
	if st.serviceRule.WarmUpRate == 0 {
		return
	}
	log := dr.options.Common.RoutineLogger()
	warming := st.scheduler.WarmUps(st.lastRun)
	for id, w := range warming {
		if !st.warming[id] {
			st.warming[id] = true
			log.Info("target-warming-up", "service", st.serviceRule.Name, "target", id,
				"left-ms", w.Remaining.Milliseconds(), "sender", w.Sender)
		}
	}
	for id := range st.warming {
		if _, ok := warming[id]; !ok {
			delete(st.warming, id)
			log.Info("target-warm", "service", st.serviceRule.Name, "target", id)
		}
	}
}

// recordLeaving records a target's own report that it is leaving, and announces it to the
// peers if it is new.
func (dr *Dispatcher) recordLeaving(now time.Time, st *state, r target.NoticeReport) {
	if !st.scheduler.RecordLeaving(now, r.ID, r.Born) {
		return
	}
	dr.recordChange("target-leaving", r.ID, r.ID)
	if dr.options.AnnounceLeaving == nil {
		return
	}
	ttl := leavingAnnouncementTTL
	if r.Born == 0 {
		ttl = scheduling.UnidentifiedLeavingTTL
	}
	st.unannounced[r.ID] = tarragonwell.LeavingTarget{
		Service:   st.serviceRule.Name,
		ID:        r.ID,
		Born:      r.Born,
		ExpiresAt: now.Add(ttl),
		Observed:  true,
	}
	dr.announceLeaving(st)
}

// announceLeaving announces the leaving targets that have not been announced yet.
func (dr *Dispatcher) announceLeaving(st *state) {
	for id, l := range st.unannounced {
		if dr.options.AnnounceLeaving(l) {
			delete(st.unannounced, id)
		}
	}
}

// recordBackoff records that a target asked to be sent nothing for a time.
func (dr *Dispatcher) recordBackoff(now time.Time, st *state, r target.NoticeReport) {
	until := st.scheduler.RecordBackoff(now, r.ID, r.Born, r.Notice.RetryAfter)
	if until.IsZero() {
		return
	}
	dr.metrics.backoffs.Inc()
	dr.options.Common.Log.Warn("target-backoff", "service", st.serviceRule.Name, "target", r.ID,
		"asked-ms", r.Notice.RetryAfter.Milliseconds(), "until-ms", until.Sub(now).Milliseconds())
}

// markLeaving applies a peer's announcement that a target is leaving. It is not repeated
// to others.
func (dr *Dispatcher) markLeaving(now time.Time, st *state, m leavingMessage) {
	if st.scheduler.MarkLeaving(now, m.announced) {
		dr.recordChange("target-leaving", m.announced.ID, m.from)
	}
}

// restrictTarget tells a target's client what the target stated, and whether it is drained,
// for the calls that were granted before.
func (st *state) restrictTarget(id string) {
	h := st.handles[id]
	for _, t := range st.scheduler.Targets() {
		if h != nil && t.ID == id {
			h.target.Restrict(target.Restriction{
				Leaving: t.LeavingReported,
				Until:   t.BackoffUntil,
				Drained: t.Drained,
			})
		}
	}
}
