// Package tamper is a fault-injecting TCP proxy: delays, cuts, silent connections and lost replies.
package tamper
