// Package noise makes repeatable schedules of how slow a target is, shared by the target stand-in and the ideal queue.
package noise
