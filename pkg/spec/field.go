package spec

import (
	"fmt"
	"strconv"
	"strings"
	"time"
)

// FieldError tells which value of an INI text is refused and what is allowed.
type FieldError struct {
	// File names the text, such as a path.
	File string
	// Section is the INI section; it is empty for keys above the first one.
	Section string
	// Key is the refused key.
	Key string
	// Value is the value seen.
	Value string
	// Allowed describes the values that would be taken.
	Allowed string
}

// Error returns the message shown to operators.
func (e *FieldError) Error() string {
	return fmt.Sprintf("%s: [%s] %s = %q: allowed: %s", e.File, e.Section, e.Key, e.Value, e.Allowed)
}

// Field describes one key of an INI text for parsing and for the reference page.
type Field struct {
	// Section and Key name the field.
	Section, Key string
	// Unit is the unit of the value, or empty.
	Unit string
	// Default is the value of an absent key; a field with an empty default is required.
	Default string
	// Allowed describes the range.
	Allowed string
	// About is one sentence for the reference page.
	About string
	// Set parses the value and stores it; false means that it is not allowed.
	Set func(value string) bool
}

// Int stores a whole number between low and high.
func Int(into *int, low, high int) func(string) bool {
	return func(value string) bool {
		n, err := strconv.Atoi(value)
		if err != nil || n < low || n > high {
			return false
		}
		*into = n
		return true
	}
}

// Millis stores a duration given as whole milliseconds between low and high.
func Millis(into *time.Duration, low, high time.Duration) func(string) bool {
	return func(value string) bool {
		n, err := strconv.ParseInt(value, 10, 64)
		if err != nil || n < low.Milliseconds() || n > high.Milliseconds() {
			return false
		}
		*into = time.Duration(n) * time.Millisecond
		return true
	}
}

// Float stores a number between low and high.
func Float(into *float64, low, high float64) func(string) bool {
	return func(value string) bool {
		f, err := strconv.ParseFloat(value, 64)
		if err != nil || !(f >= low && f <= high) {
			return false
		}
		*into = f
		return true
	}
}

// Choice stores one of the given words.
func Choice(into *string, words ...string) func(string) bool {
	return func(value string) bool {
		for _, word := range words {
			if value == word {
				*into = value
				return true
			}
		}
		return false
	}
}

// Name stores a word of letters, digits, '-' and '_' that starts with a letter or digit.
func Name(into *string) func(string) bool {
	return func(value string) bool {
		if !IsName(value) {
			return false
		}
		*into = value
		return true
	}
}

const maxNameBytes = 64

// IsName reports whether value can name a service, a host or a failure domain.
func IsName(value string) bool {
	if value == "" || len(value) > maxNameBytes || strings.ContainsRune("-_", rune(value[0])) {
		return false
	}
	for _, r := range value {
		isLetter := (r >= 'a' && r <= 'z') || (r >= 'A' && r <= 'Z')
		isDigit := r >= '0' && r <= '9'
		if !isLetter && !isDigit && r != '-' && r != '_' {
			return false
		}
	}
	return true
}
