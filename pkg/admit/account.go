package admit

import "context"

// ReasonMemoryFull is the reason of requests that are refused because of Limits.Bytes.
const ReasonMemoryFull = "MemoryFull"

// Account records what is held for the connection of one request.
type Account interface {
	// Hold adds a number of bytes. If it returns false they must not be held.
	Hold(bytes int) bool
	// Yield closes the connection if its client is late, and reports whether it did.
	Yield() bool
	// Record returns what speaks against the client.
	Record() Record
}

// Record is what speaks against the client of a connection.
type Record struct {
	// IsPipelined says that it sent further requests before it had the answer to this one.
	IsPipelined bool
	// IsAddressLate says that several connections from its address were closed recently
	// because their clients were late.
	IsAddressLate bool
}

type accountKey struct{}

// WithAccount returns a context for a request with an account.
func WithAccount(ctx context.Context, account Account) context.Context {
	return context.WithValue(ctx, accountKey{}, account)
}

// FromContext returns the account of a request. One without an account may hold anything.
func FromContext(ctx context.Context) Account {
	if account, ok := ctx.Value(accountKey{}).(Account); ok {
		return account
	}
	return unlimited{}
}

type unlimited struct{}

// Hold implements Account.
func (unlimited) Hold(int) bool { return true }

// Yield implements Account.
func (unlimited) Yield() bool { return false }

// Record implements Account.
func (unlimited) Record() Record { return Record{} }
