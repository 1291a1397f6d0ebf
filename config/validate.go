package config

import (
	"bytes"
	_ "embed" // the schemas
	"encoding/json"
	"fmt"
	"sort"
	"strconv"
	"strings"
	"sync"

	"github.com/pkg/errors"
	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/skylarkstep/skylarkstep/errkind"
)

//go:embed config.schema.json
var configSchema []byte

//go:embed settings.schema.json
var settingsSchema []byte

// Schemas are compiled at their first use. At the initialization of the package, it
// would delay the registration of signals in every process that imports it.
var (
	compiledConfig   = sync.OnceValue(func() *jsonschema.Schema { return MustCompileSchema("config.schema.json", configSchema) })
	compiledSettings = sync.OnceValue(func() *jsonschema.Schema { return MustCompileSchema("settings.schema.json", settingsSchema) })
)

// maxValueShown limits the bytes of an invalid value that an error repeats.
const maxValueShown = 80

// InvalidField describes one field of a document that is not valid.
type InvalidField struct {
	Path     string `json:"path"`
	Value    string `json:"value"`
	Expected string `json:"expected"`
}

// ValidationError lists all invalid fields of a document.
type ValidationError []InvalidField

// Error implements error.
func (e ValidationError) Error() string {
	lines := make([]string, 0, len(e))
	for _, x := range e {
		lines = append(lines, fmt.Sprintf("%s: %s (found %s)", x.Path, x.Expected, x.Value))
	}
	return strings.Join(lines, "\n")
}

// ErrorDetail returns the machine-readable part of an error response.
func (e ValidationError) ErrorDetail() any { return e }

// ParseConfig decodes and validates a configuration.
func ParseConfig(data []byte) (*Config, error) {
	var c Config
	if err := DecodeWithSchema(compiledConfig(), data, &c); err != nil {
		return nil, err
	}
	if invalid := c.checkReferences(); len(invalid) > 0 {
		return nil, errkind.Wrap(invalid, errkind.InvalidConfig, "%d invalid fields", len(invalid))
	}
	return &c, nil
}

// ParseSettings decodes and validates the settings of a process.
func ParseSettings(data []byte) (*Settings, error) {
	var s Settings
	if err := DecodeWithSchema(compiledSettings(), data, &s); err != nil {
		return nil, err
	}
	return &s, nil
}

// DecodeWithSchema validates a JSON document as a whole and decodes it. The error
// lists all invalid fields with their paths.
func DecodeWithSchema(schema *jsonschema.Schema, data []byte, into any) error {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return errkind.Wrap(err, errkind.InvalidConfig, "not a JSON document")
	}
	if err := schema.Validate(doc); err != nil {
		invalid := schemaErrors(doc, err)
		return errkind.Wrap(invalid, errkind.InvalidConfig, "%d invalid fields", len(invalid))
	}
	if err := json.Unmarshal(data, into); err != nil {
		return errkind.Wrap(err, errkind.InvalidConfig, "decode the validated document")
	}
	return nil
}

// schemaErrors converts an error of the schema validator, sorted by path.
func schemaErrors(doc any, err error) ValidationError {
	var ve *jsonschema.ValidationError
	if !errors.As(err, &ve) {
		return ValidationError{{Path: "/", Expected: err.Error()}}
	}
	printer := message.NewPrinter(language.English)
	var invalid ValidationError
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			invalid = append(invalid, InvalidField{
				Path:     "/" + strings.Join(e.InstanceLocation, "/"),
				Value:    shortJSON(valueAt(doc, e.InstanceLocation)),
				Expected: e.ErrorKind.LocalizedString(printer),
			})
		}
		for _, c := range e.Causes {
			walk(c)
		}
	}
	walk(ve)
	sort.SliceStable(invalid, func(i, j int) bool { return invalid[i].Path < invalid[j].Path })
	return invalid
}

// valueAt returns the value at a path of a decoded JSON document, or nil.
func valueAt(doc any, path []string) any {
	for _, p := range path {
		switch v := doc.(type) {
		case map[string]any:
			doc = v[p]
		case []any:
			i, err := strconv.Atoi(p)
			if err != nil || i < 0 || i >= len(v) {
				return nil
			}
			doc = v[i]
		default:
			return nil
		}
	}
	return doc
}

// shortJSON returns a value as JSON, cut to maxValueShown bytes.
func shortJSON(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		return "?"
	}
	if len(b) > maxValueShown {
		return string(b[:maxValueShown]) + "..."
	}
	return string(b)
}

// MustCompileSchema compiles an embedded JSON schema. It panics if the schema is
// malformed.
func MustCompileSchema(name string, data []byte) *jsonschema.Schema {
	doc, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		panic(name + ": " + err.Error())
	}
	c := jsonschema.NewCompiler()
	if err := c.AddResource(name, doc); err != nil {
		panic(name + ": " + err.Error())
	}
	return c.MustCompile(name)
}
