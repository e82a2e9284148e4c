// Package tamper is a TCP proxy that injects network faults.
//
// A route is a listener together with the address to which its connections are
// forwarded. The faults of a route can be changed at any time. They are delays, closed
// connections, connections that stay open but silently drop all data, and lost
// replies. A route whose destination refuses connections refuses them too.
package tamper
