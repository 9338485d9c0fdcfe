//! The secret that opens the administration API.

use std::fmt;

use subtle::ConstantTimeEq;

/// A bearer token; its text never shows in logs or error messages.
#[derive(Clone, PartialEq, Eq)]
pub struct Token(String);

impl Token {
    /// A token with this text.
    #[must_use]
    pub const fn new(text: String) -> Self {
        Self(text)
    }

    /// Whether the text is that of the token, in time that depends on neither's content.
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
        // Digests have one length, so the length of the token does not show either.
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
