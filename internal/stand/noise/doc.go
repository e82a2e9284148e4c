// Package noise computes how the speed of a target varies over time. A target is
// permanently slower by one factor and, during bursts of fixed length at random
// times, by another. The bursts follow from a seed and the target's name, so the
// simulated target and the ideal queue that it is compared with see the same ones.
package noise
