package cmds

import (
	"bytes"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
	"gitlab.com/curranttiller/curranttiller/platform"
)

func checkCommand() *command {
	var path string
	return &command{
		name:        "check",
		about:       "Checks a file with the settings of an entry host, the document of a service or the configuration of a platform with a store.",
		detail:      "A file that begins with a brace is checked as a configuration, a file that contains the text [Service] as a document, any other file as settings. Of a configuration, the form, the version and the organisations are checked; the error for a key that two organisations hold names them and the line, not the key. The error for a value that is not allowed names the file, section, key, value and allowed values. The exit code is then 2.",
		positionals: []positional{{name: "file", about: "INI file with settings or a document, or JSON file with a configuration", value: &path}},
		run: func(s streams) int {
			kind, err := checkFile(path)
			if err != nil {
				return s.fail(err)
			}
			fmt.Fprintf(s.out, "%s: valid %s\n", path, kind)
			return ExitDone
		},
	}
}

// checkFile checks a file as "configuration", "document" or "settings", depending on its
// content, and returns which.
func checkFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrapf(err, "reading the file %q", path)
	}
	if bytes.HasPrefix(bytes.TrimSpace(text), []byte("{")) {
		if err := platform.CheckConfiguration(text); err != nil {
			return "", &badFileError{path: path, cause: err}
		}
		return "configuration", nil
	}
	if bytes.Contains(text, []byte("[Service]")) {
		_, err := spec.Parse(path, text)
		return "document", err
	}
	_, err = config.Parse(path, text)
	return "settings", err
}

// badFileError says that the content of a file is not valid, without a section and key as
// in spec.FieldError.
type badFileError struct {
	path  string
	cause error
}

// Error names the file and the cause.
func (e *badFileError) Error() string {
	return e.path + ": " + e.cause.Error()
}

// Unwrap returns the cause.
func (e *badFileError) Unwrap() error {
	return e.cause
}
