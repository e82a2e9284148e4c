package cmds

import (
	"bytes"
	"fmt"
	"os"

	"github.com/rotisserie/eris"

	"gitlab.com/curranttiller/curranttiller/internal/config"
	"gitlab.com/curranttiller/curranttiller/pkg/spec"
)

func checkCommand() *command {
	var path string
	return &command{
		name:        "check",
		about:       "Checks a file with the settings of an entry host or the document of a service.",
		detail:      "A file that contains the text [Service] is checked as a document, any other file as settings. The error for a value that is not allowed names the file, section, key, value and allowed values. The exit code is then 2.",
		positionals: []positional{{name: "file", about: "INI file with settings or a document", value: &path}},
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

// checkFile checks a file as "document" or "settings", depending on its content, and
// returns which.
func checkFile(path string) (string, error) {
	text, err := os.ReadFile(path)
	if err != nil {
		return "", eris.Wrapf(err, "reading the file %q", path)
	}
	if bytes.Contains(text, []byte("[Service]")) {
		_, err := spec.Parse(path, text)
		return "document", err
	}
	_, err = config.Parse(path, text)
	return "settings", err
}
