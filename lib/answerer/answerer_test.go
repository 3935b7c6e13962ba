package answerer

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/require"
)

func TestAnswersDependOnTheRequestOnly(t *testing.T) {
	text := Text("m", "hello", 40)
	require.Equal(t, text, Text("m", "hello", 40))
	require.NotEqual(t, text, Text("m", "hello!", 40))
	require.Equal(t, Length("m", "hello", 40), len(strings.Fields(text)))
	require.True(t, strings.HasPrefix(text, Token("m", "hello", 0)+Token("m", "hello", 1)))
	require.NotEqual(t, Plain("POST", "/a", nil), Plain("POST", "/a", []byte("x")))
}

func TestLengthStaysWithinTheBound(t *testing.T) {
	for _, bound := range []int{0, 1, 2, 3, 4, 100} {
		length := Length("m", "p", bound)
		require.LessOrEqual(t, length, bound)
		require.GreaterOrEqual(t, 4*length, bound)
	}
}
