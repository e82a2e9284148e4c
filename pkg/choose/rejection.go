package choose

// A target may answer requests with a client error (4xx) that its siblings serve, for
// example because it lacks its data. It does so fast and would look like the best target.
// Load pattern: one or some of the targets reject a class of requests, the others serve it.

const (
	// rejectionGain is the weight of one answer in a target's share of rejections.
	rejectionGain = 0.1
	// rejectionExcess is by how much a target's share of rejections must exceed the mean share
	// of the others, so that its rejections count as errors of its own.
	rejectionExcess = 0.5
	// usualRejections is the mean share of rejections of the other targets from which rejecting
	// counts as the service's own answer. Targets without an answer count as not rejecting.
	usualRejections = 0.5
)

// rejectionShare is the EWMA of the share of answers of a target that reject a request.
type rejectionShare struct {
	// rejected and answered are the weights of the rejections and of all answers, which begin
	// at zero and approach at most 1.
	rejected, answered float64
}

func (s *rejectionShare) add(isRejected bool) {
	s.rejected *= 1 - rejectionGain
	s.answered += rejectionGain * (1 - s.answered)
	if isRejected {
		s.rejected += rejectionGain
	}
}

// weighRejection returns what the pool learns from the outcome of an attempt. A target that
// rejects far more requests of the class than the others do gets an error. Its own share
// counts from zero, so that a few rejections prove nothing. Unless most targets are known to
// reject the class, a rejection also counts as no faster than expected.
func (p *Pool) weighRejection(a *attempt, class string, outcome Outcome) Outcome {
	if outcome.Kind != Answered {
		return outcome
	}
	s := a.target
	share, found := s.rejections[class]
	if !found {
		share = &rejectionShare{}
		if s.rejections == nil {
			s.rejections = make(map[string]*rejectionShare)
		}
		s.rejections[class] = share
	}
	share.add(outcome.Rejected)
	if !outcome.Rejected {
		return outcome
	}
	sum, known := p.otherRejections(s, class)
	if known > 0 && share.rejected-sum/float64(known) > rejectionExcess {
		outcome.Kind = Errored
		return outcome
	}
	if sum < usualRejections*float64(len(p.targets)-1) {
		outcome.Latency = max(outcome.Latency, a.expectedLatency, p.latencies.median)
	}
	return outcome
}

// otherRejections returns the sum of the shares of rejections of the other targets that have
// answered requests of the class, and how many these are.
func (p *Pool) otherRejections(s *targetState, class string) (sum float64, known int) {
	for _, other := range p.targets {
		if share, found := other.rejections[class]; found && other != s {
			sum += share.rejected / share.answered
			known++
		}
	}
	return sum, known
}
