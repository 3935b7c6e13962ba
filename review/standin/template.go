package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strconv"
	"strings"
)

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([\w.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([\w.]+)(\|json)?\}\}`)
)

// render fills in a template of settings as the platform does: values, values as JSON, and
// sections that are rendered if their value is present or missing.
func render(text string, fields map[string]any) (string, error) {
	for {
		found := sectionPattern.FindStringSubmatchIndex(text)
		if found == nil {
			break
		}
		kind, name := text[found[2]:found[3]], text[found[4]:found[5]]
		closing := "{{/" + name + "}}"
		length := strings.Index(text[found[1]:], closing)
		if length < 0 {
			return "", fmt.Errorf("section %s of the template has no end", name)
		}
		inner := ""
		if isPresent(lookUp(fields, name)) == (kind == "#") {
			inner = text[found[1] : found[1]+length]
		}
		text = text[:found[0]] + inner + text[found[1]+length+len(closing):]
	}
	return valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		parts := valuePattern.FindStringSubmatch(placeholder)
		value := lookUp(fields, parts[1])
		if encoded, isText := value.(string); isText && parts[2] == "" {
			return encoded
		}
		if value == nil && parts[2] == "" {
			return ""
		}
		encoded, err := json.Marshal(value)
		if err != nil {
			return ""
		}
		return string(encoded)
	}), nil
}

func isPresent(value any) bool {
	return value != nil && value != false
}

// lookUp returns the value of a dotted name, nil if there is none.
func lookUp(fields map[string]any, name string) any {
	var value any = fields
	for _, part := range strings.Split(name, ".") {
		switch at := value.(type) {
		case map[string]any:
			value = at[part]
		case []any:
			index, err := strconv.Atoi(part)
			if err != nil || index < 0 || index >= len(at) {
				return nil
			}
			value = at[index]
		default:
			return nil
		}
	}
	return value
}
