// Package beacon sends and receives small datagrams in which entry hosts tell
// each other what they know of the store's topics and see of the targets.
package beacon
