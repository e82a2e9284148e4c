package choose

// hedgeReserve is the number of tokens for extra attempts that hedges leave to retries.
func (p *Pool) hedgeReserve() float64 {
	if p.settings.ExtraBurst > 0 {
		return p.extraAttemptBurst() * reserveShare
	}
	return defaultRetryReserve
}

// extraAttemptBurst is the capacity of this host's token bucket for extra attempts. It is
// smaller if more than Settings.BurstHosts hosts share the targets.
func (p *Pool) extraAttemptBurst() float64 {
	burst := p.settings.ExtraBurst
	if burst == 0 {
		burst = defaultExtraBurst
	}
	if most := p.settings.BurstHosts; most > 0 && p.sharingHosts > most {
		return burst * float64(most) / float64(p.sharingHosts)
	}
	return burst
}

// priorityReserve is the number of tokens for extra attempts that a request leaves to more
// urgent ones, so that the budget is spent by priority when most attempts fail.
func (p *Pool) priorityReserve(r *pending) float64 {
	if p.settings.ExtraBurst == 0 {
		return 0
	}
	return p.extraAttemptBurst() * reserveShare * float64(min(r.Priority, maxReservePriority))
}
