//! Parts of a request's prompt, as its head lists them.

use std::sync::Arc;

/// Ends each id in the text; ids do not contain it.
const ID_END: char = ',';

/// Ids of a prompt's parts in order, without the last one, which is the request's own.
///
/// They are kept as one text, as a head may list thousands of them; clones share it.
///
/// # Examples
///
/// ```
/// use brassrack::gateway::prompt_parts::PromptParts;
///
/// let parts: PromptParts = ["91bd", "e440"].into_iter().collect();
/// assert_eq!(parts.iter().nth(1), Some("e440"));
/// assert_eq!(parts.bytes(), 10);
/// ```
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct PromptParts(Arc<str>);

impl PromptParts {
    /// The ids in order.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.0.split_terminator(ID_END)
    }

    /// Size of the text in bytes.
    #[must_use]
    pub fn bytes(&self) -> usize {
        self.0.len()
    }
}

impl Default for PromptParts {
    fn default() -> Self {
        Self(Arc::from(""))
    }
}

impl<'a> FromIterator<&'a str> for PromptParts {
    fn from_iter<I: IntoIterator<Item = &'a str>>(iter: I) -> Self {
        let mut text = String::new();
        for id in iter {
            text.push_str(id);
            text.push(ID_END);
        }
        Self(Arc::from(text))
    }
}
