package labeler

import (
	"testing"

	"github.com/stretchr/testify/require"
)

func TestSelector(t *testing.T) {
	club := Labels{"tier": "club", "zone": "trento-a"}
	tests := map[string]struct {
		text string
		want bool
	}{
		"empty matches everything": {text: "", want: true},
		"equal":                    {text: "tier=club", want: true},
		"both":                     {text: "tier=club,zone in (verona-b)", want: false},
		"absent":                   {text: "!drain", want: true},
		"not equal":                {text: "tier!=house", want: true},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			selector, err := Parse(test.text)
			require.NoError(t, err)
			require.Equal(t, test.want, selector.Matches(club))
		})
	}
	require.True(t, Selector{}.Matches(club), "the zero value matches everything")
	_, err := Parse("tier in club")
	require.ErrorIs(t, err, ErrSelector)
	require.ErrorContains(t, err, "write conditions such as")
}

func TestCheck(t *testing.T) {
	require.NoError(t, Check("model.draft-7b", "yes"))
	require.ErrorIs(t, Check("a b", "yes"), ErrLabel)
	require.ErrorIs(t, Check("key", "a,b"), ErrLabel)
}
