//! Bearer token of the administration API.

use std::fmt;

use subtle::ConstantTimeEq;

/// A bearer token whose text is kept out of logs and error messages.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// Creates a token from its text.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Compares the text with the token in time independent of the content of either.
    ///
    /// # Examples
    ///
    /// ```
    /// let token = brassrack::settings::Token::new("a long secret".into());
    /// assert!(token.matches("a long secret"));
    /// assert!(!token.matches("a long secreT"));
    /// ```
    #[must_use]
    pub fn matches(&self, text: &str) -> bool {
        // Digests have a fixed length, so the comparison does not leak the token's length either.
        let own = blake3::hash(self.0.as_bytes());
        let other = blake3::hash(text.as_bytes());
        own.as_bytes().ct_eq(other.as_bytes()).into()
    }
}

impl fmt::Debug for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Token(..)")
    }
}
