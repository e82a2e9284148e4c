package entry

import (
	"sync/atomic"
	"time"

	"gitlab.com/curranttiller/curranttiller/internal/beacon"
)

const (
	// sharingBeaconEvery is the number of full beacons of which one carries what the sharers
	// know while nothing changes, for hosts that have just started.
	sharingBeaconEvery = 5
	// sharingBeaconsAfterChange is the number of full beacons that carry it after a change,
	// because some datagrams are lost.
	sharingBeaconsAfterChange = 3
)

// serviceLookup returns the service of a name, nil if this host has none.
type serviceLookup func(name string) *service

// sharer is a part of the host that tells other hosts short facts, such as the limits that
// targets name, and learns theirs. A fact has a subject, a value and an age. Two hosts may
// know different facts at any time, so a wrong one must cost speed only.
type sharer interface {
	// share adds what the part knows to a full beacon. Only the beacon loop calls it.
	share(now time.Time, services []*service, message beacon.Message) beacon.Message
	// learn applies what a beacon of another host carries, and reports whether any of it
	// was new, so that a relay passes it on. It must log what it learns.
	learn(now time.Time, services serviceLookup, message *beacon.Message) bool
}

// sharing decides which full beacons carry the facts of the sharers.
type sharing struct {
	sharers []sharer
	// changed is set if other hosts must be told of a change.
	changed atomic.Bool
	// beaconsLeft is the number of successive full beacons that must carry the facts after a
	// change, and fullBeacons counts the full beacons. Only the beacon loop uses these two.
	beaconsLeft int
	fullBeacons uint64
}

// announce makes the beacon loop tell other hosts of a change soon.
func (s *sharing) announce() {
	s.changed.Store(true)
}

// takeChange reports whether there was a change since the last call. The next full beacons
// then carry the facts.
func (s *sharing) takeChange() bool {
	isChanged := s.changed.Swap(false)
	if isChanged {
		s.beaconsLeft = sharingBeaconsAfterChange
	}
	return isChanged
}

// addTo adds the facts to a full beacon if it is the turn of these.
func (s *sharing) addTo(now time.Time, services []*service, message beacon.Message) beacon.Message {
	s.fullBeacons++
	if s.beaconsLeft == 0 && s.fullBeacons%sharingBeaconEvery > 0 {
		return message
	}
	s.beaconsLeft = max(s.beaconsLeft-1, 0)
	for _, part := range s.sharers {
		message = part.share(now, services, message)
	}
	return message
}

// learn passes a received beacon to the sharers, and reports whether any of it was new.
func (s *sharing) learn(now time.Time, services serviceLookup, message *beacon.Message) bool {
	isChanged := false
	for _, part := range s.sharers {
		if part.learn(now, services, message) {
			isChanged = true
		}
	}
	return isChanged
}
