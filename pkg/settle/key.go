package settle

import (
	"fmt"
	"strconv"
	"strings"
)

// MaxKeyBytes is the length of the longest Idempotency-Key that ParseKey accepts.
const MaxKeyBytes = 256

// Token is the part of a key that names its home. Callers get it from the directory,
// the list of entry hosts for a service (package caller).
type Token struct {
	// Host is the name of the home's host. It contains no dot.
	Host string
	// Incarnation identifies one run of the host's process.
	Incarnation uint64
	// Counter is the heartbeat counter of the home when it issued the token.
	Counter uint64
}

// String returns the host, the incarnation in hexadecimal and the counter in
// decimal, separated by dots. Keys begin with this text.
func (t Token) String() string {
	return fmt.Sprintf("%s.%x.%d", t.Host, t.Incarnation, t.Counter)
}

// Key identifies one request, however often it is submitted.
type Key struct {
	Token
	// Unique is drawn by the caller at random. It is not empty and may contain dots.
	Unique string
}

// String returns the value of the Idempotency-Key header.
func (k Key) String() string {
	return k.Token.String() + "." + k.Unique
}

// ParseKey parses the value of an Idempotency-Key header, as Key.String returns it.
// It returns false if the value is too long, or is not a token with a unique part.
func ParseKey(text string) (Key, bool) {
	if len(text) > MaxKeyBytes {
		return Key{}, false
	}
	const partCount = 4
	parts := strings.SplitN(text, ".", partCount)
	if len(parts) != partCount || parts[0] == "" || parts[3] == "" {
		return Key{}, false
	}
	incarnation, err := strconv.ParseUint(parts[1], 16, 64)
	if err != nil {
		return Key{}, false
	}
	counter, err := strconv.ParseUint(parts[2], 10, 64)
	if err != nil {
		return Key{}, false
	}
	return Key{Token: Token{Host: parts[0], Incarnation: incarnation, Counter: counter}, Unique: parts[3]}, true
}
