package instancehttp

import (
	"bytes"
	"encoding/json"

	"github.com/pkg/errors"

	"github.com/skylarkstep/skylarkstep/infra"
)

// splitArray returns the elements of a JSON array without decoding them. encoding/json
// refuses a whole document in which a single element is nested too deeply.
func splitArray(data []byte) ([][]byte, error) {
	data = bytes.TrimSpace(data)
	if len(data) < 2 || data[0] != '[' || data[len(data)-1] != ']' {
		return nil, errors.New("the list is not a JSON array")
	}
	inner := bytes.TrimSpace(data[1 : len(data)-1])
	if len(inner) == 0 {
		return nil, nil
	}
	var elements [][]byte
	start, depth, inString := 0, 0, false
	for i := 0; i < len(inner); i++ {
		switch b := inner[i]; {
		case inString && b == '\\':
			i++
		case b == '"':
			inString = !inString
		case inString:
		case b == '[' || b == '{':
			depth++
		case b == ']' || b == '}':
			depth--
		case b == ',' && depth == 0:
			elements, start = append(elements, inner[start:i]), i+1
		}
		if depth < 0 {
			return nil, errors.New("the brackets of the list do not match")
		}
	}
	if depth != 0 || inString {
		return nil, errors.New("the list is incomplete")
	}
	return append(elements, inner[start:]), nil
}

// decodeRow decodes one row of the list.
func decodeRow(data []byte) (infra.Instance, error) {
	var r infra.Instance
	if err := json.Unmarshal(data, &r); err != nil {
		return r, errors.WithStack(err)
	}
	if r.Name == "" || r.Addr == "" {
		return r, errors.New("the row has no name or address")
	}
	return r, nil
}
