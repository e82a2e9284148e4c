package limit_test

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gitlab.com/curranttiller/curranttiller/pkg/limit"
)

const (
	modelStep     = 20 * time.Millisecond
	modelDuration = 40 * time.Second
	// modelMaxLag is the longest time after which a host notices that another one has failed
	// or come back.
	modelMaxLag = 2500 * time.Millisecond
	// modelWindow is the window in which a target counts its requests.
	modelWindow = 4 * time.Second
	// modelSeeds is the number of seeds. Those with odd numbers have bursts.
	modelSeeds = 4
)

// model runs the limiters of a fleet for one target. Either every host always has a request
// to send, or all hosts have none most of the time and then many at once. Hosts have
// different views of which hosts are alive. They all know the limit.
type model struct {
	rng       *rand.Rand
	perSecond float64
	now       time.Time
	hosts     []*modelHost
	// history holds for each step which hosts were up and in which part of the network.
	history  [][]modelStatus
	isBursty bool
	sent     []time.Time
}

// modelStatus is the status of one host at one time. Hosts reach each other in the same
// part of the network.
type modelStatus struct {
	isUp bool
	part int
}

type modelHost struct {
	limiter *limit.Limiter
	status  modelStatus
	// frozenUntil is when the host goes on with the view that it had.
	frozenUntil time.Time
	startedAt   time.Time
	lag         time.Duration
	role        limit.Role
}

func newModel(hosts int, perSecond float64, seed uint64) *model {
	m := &model{rng: rand.New(rand.NewPCG(seed, 11)), perSecond: perSecond, now: time.Unix(9000, 0)}
	for range hosts {
		h := &modelHost{}
		m.hosts = append(m.hosts, h)
		m.start(h)
	}
	return m
}

// start starts a host that learns the limit at once.
func (m *model) start(h *modelHost) {
	h.limiter = limit.New(m.rng.ExpFloat64)
	h.limiter.Receive(limit.State{PerSecond: max(m.perSecond, limit.MinPerSecond), At: m.now})
	h.status.isUp = true
	h.startedAt = m.now
	h.lag = time.Duration(m.rng.Float64() * float64(modelMaxLag))
}

// updateRole computes the role of a host from the status that all hosts had before. The
// owner is the first host that is alive. A host that has just started is not the owner.
func (m *model) updateRole(index int) {
	h := m.hosts[index]
	past := m.history[max(len(m.history)-1-int(h.lag/modelStep), 0)]
	own := past[index].part
	alive, first := 1, index
	for i, status := range past {
		if i != index && status.isUp && status.part == own {
			alive++
			first = min(first, i)
		}
	}
	isSettled := m.now.Sub(h.startedAt) >= 400*time.Millisecond || m.now.Equal(time.Unix(9000, 0))
	h.role = limit.Role{IsOwner: first == index && isSettled, Known: len(m.hosts), Alive: alive}
}

// run runs the model. At each step, disturb may change the status of hosts.
func (m *model) run(disturb func(m *model)) {
	for elapsed := time.Duration(0); elapsed < modelDuration; elapsed += modelStep {
		disturb(m)
		statuses := make([]modelStatus, 0, len(m.hosts))
		for _, h := range m.hosts {
			statuses = append(statuses, h.status)
		}
		m.history = append(m.history, statuses)
		for i, h := range m.hosts {
			if !h.status.isUp || m.now.Before(h.frozenUntil) {
				continue
			}
			if elapsed%(100*time.Millisecond) == 0 {
				m.updateRole(i)
			}
			for !m.isIdle() && h.limiter.Allows(m.now, h.role) {
				h.limiter.Spend(m.now, h.role)
				m.sent = append(m.sent, m.now)
			}
		}
		m.now = m.now.Add(modelStep)
	}
}

// isIdle reports whether no host has a request. Bursts are a second every seven seconds.
func (m *model) isIdle() bool {
	return m.isBursty && len(m.history)%350 < 300
}

// worstWindow is the largest number of requests in a window of the given length.
func worstWindow(sent []time.Time, length time.Duration) int {
	worst, first := 0, 0
	for i, at := range sent {
		for at.Sub(sent[first]) > length {
			first++
		}
		worst = max(worst, i-first+1)
	}
	return worst
}

func undisturbed(*model) {}

// oneAfterTheOther restarts the hosts in turn, beginning with the owner.
func oneAfterTheOther(m *model) {
	step := len(m.history)
	const every = 50
	index := step / every % len(m.hosts)
	switch h := m.hosts[index]; step % every {
	case 0:
		h.status.isUp = false
	case 25:
		m.start(h)
	}
}

// allAtOnce stops all hosts every ten seconds and starts them again.
func allAtOnce(m *model) {
	for _, h := range m.hosts {
		switch len(m.history) % 500 {
		case 400:
			h.status.isUp = false
		case 410:
			m.start(h)
		}
	}
}

// divided divides the network into three parts, again and again.
func divided(m *model) {
	for i, h := range m.hosts {
		switch len(m.history) % 600 {
		case 100:
			h.status.part = i % 3
		case 500:
			h.status.part = 0
		}
	}
}

// isolated cuts every host off from all others.
func isolated(m *model) {
	if len(m.history) == 200 {
		for i, h := range m.hosts {
			h.status.part = i
		}
	}
}

// frozenOwners freezes one of the first hosts for some seconds, again and again.
func frozenOwners(m *model) {
	if len(m.history)%200 == 0 {
		m.hosts[m.rng.IntN(min(len(m.hosts), 3))].frozenUntil = m.now.Add(time.Duration(1+m.rng.IntN(4)) * time.Second)
	}
}

// mixed stops, starts, freezes and cuts off hosts at random.
func mixed(m *model) {
	if m.rng.IntN(25) > 0 {
		return
	}
	h := m.hosts[m.rng.IntN(len(m.hosts))]
	switch m.rng.IntN(4) {
	case 0:
		h.status.isUp = false
	case 1:
		m.start(h)
	case 2:
		h.frozenUntil = m.now.Add(time.Duration(m.rng.IntN(3000)) * time.Millisecond)
	default:
		h.status.part = m.rng.IntN(3)
	}
}

// disturbances are what may happen to the hosts of a model.
var disturbances = []struct {
	name    string
	disturb func(m *model)
}{
	{"undisturbed", undisturbed},
	{"one after the other", oneAfterTheOther},
	{"all at once", allAtOnce},
	{"divided", divided},
	{"isolated", isolated},
	{"frozen owners", frozenOwners},
	{"mixed", mixed},
}

// TestModelFleetStaysBelowLimit checks that the fleet sends a target no more than 1.5 times
// its limit and five requests in any window, whatever the views of the hosts are.
func TestModelFleetStaysBelowLimit(t *testing.T) {
	for _, d := range disturbances {
		for _, hosts := range []int{1, 3, 13, 100, 313} {
			for _, perSecond := range []float64{0, 0.3, 1, 3.4, 20} {
				t.Run(fmt.Sprintf("%s/%d hosts/%.2g a second", d.name, hosts, perSecond), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(modelSeeds) {
						m := newModel(hosts, perSecond, seed)
						m.isBursty = seed%2 == 1
						m.run(d.disturb)
						allowed := 1.5*perSecond*modelWindow.Seconds() + 5
						if worst := worstWindow(m.sent, modelWindow); float64(worst) > allowed {
							t.Errorf("seed %d: %d requests in %v, allowed %.1f", seed, worst, modelWindow, allowed)
						}
						t.Logf("seed %d: %.2f a second", seed, float64(len(m.sent))/modelDuration.Seconds())
					}
				})
			}
		}
	}
}

// TestModelColdTargetStaysWhole checks that the fleet sends a cold target no more than 1.5
// times its rate and eight requests in any second, whatever the views of the hosts are.
func TestModelColdTargetStaysWhole(t *testing.T) {
	for _, d := range disturbances {
		for _, hosts := range []int{1, 13, 110} {
			for _, perSecond := range []float64{1, 7.7, 40} {
				t.Run(fmt.Sprintf("%s/%d hosts/%.2g a second", d.name, hosts, perSecond), func(t *testing.T) {
					t.Parallel()
					for seed := range uint64(modelSeeds) {
						m := newModel(hosts, limit.FullUse(perSecond), seed)
						m.isBursty = seed%2 == 1
						m.run(d.disturb)
						allowed := 1.5*perSecond + 8
						if worst := worstWindow(m.sent, time.Second); float64(worst) > allowed {
							t.Errorf("seed %d: %d requests in a second, allowed %.1f", seed, worst, allowed)
						}
					}
				})
			}
		}
	}
}

// TestModelFindsExcess checks that the model notices hosts that apply the limit each for
// itself.
func TestModelFindsExcess(t *testing.T) {
	m := newModel(13, 1, 3)
	for _, h := range m.hosts {
		h.role = limit.Role{IsOwner: true, Known: 1, Alive: 1}
	}
	for range int(modelDuration / modelStep) {
		for _, h := range m.hosts {
			if h.limiter.Allows(m.now, h.role) {
				h.limiter.Spend(m.now, h.role)
				m.sent = append(m.sent, m.now)
			}
		}
		m.now = m.now.Add(modelStep)
	}
	if worst := worstWindow(m.sent, modelWindow); worst <= 11 {
		t.Errorf("only %d requests in %v", worst, modelWindow)
	}
	if !slices.IsSortedFunc(m.sent, time.Time.Compare) {
		t.Error("requests are not in order")
	}
}
