// Package choose decides, for one service at one entry host, which target gets which request and when.
//
// A Pool is a pure state machine: times, randomness and the results of attempts
// come in, grants and refusals go out. Under the Held policy a request waits in
// the pool until a target has a free slot (late binding); under the other
// policies it is granted at once (early binding), and those serve as baselines.
package choose
