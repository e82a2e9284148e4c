// Package noise computes how the speed of a target varies over time. A target has
// one slowdown at all times and a further one during bursts of fixed length, which
// come at random times. The bursts follow from a seed and the target's name, so they
// are the same for the simulated target and the ideal queue that it is compared with.
package noise
