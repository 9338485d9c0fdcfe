//! The answers that the engine stand-in gives: the same bytes for the same prompt.

use serde::Deserialize;
use serde_json::json;

const WORDS: [&str; 16] = [
    "gilded", "paper", "fair", "bride", "rover", "fix", "float", "crew", "row", "base", "card",
    "menu", "draft", "seat", "field", "rack",
];

/// Characters of the digest that stand in an answer.
const DIGEST_CHARS: usize = 16;

#[derive(Deserialize)]
struct Message {
    content: String,
}

#[derive(Deserialize)]
struct Body {
    model: String,
    messages: Vec<Message>,
    #[serde(default)]
    stream: bool,
    max_tokens: Option<u32>,
}

/// What an answer is made from.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Prompt {
    /// Model or adapter.
    pub model: String,
    /// Content of the last message.
    pub text: String,
    /// Tokens of the answer.
    pub tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
}

impl Prompt {
    /// Reads the body of a request; `tokens` counts where it does not limit them.
    ///
    /// # Examples
    ///
    /// ```
    /// use brassrack_standins::answer::Prompt;
    ///
    /// let body = br#"{"model":"m","messages":[{"role":"user","content":"hi"}]}"#;
    /// let prompt = Prompt::parse(body, 3).unwrap();
    /// assert_eq!(prompt.words().len(), 3);
    /// ```
    #[must_use]
    pub fn parse(body: &[u8], tokens: u32) -> Option<Self> {
        let body: Body = serde_json::from_slice(body).ok()?;
        let last = body.messages.into_iter().next_back()?;
        Some(Self {
            model: body.model,
            text: last.content,
            tokens: body.max_tokens.unwrap_or(tokens),
            stream: body.stream,
        })
    }

    /// The request body that asks for this answer.
    #[must_use]
    pub fn request(&self) -> String {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": self.text }],
            "max_tokens": self.tokens,
            "stream": self.stream,
        })
        .to_string()
    }

    fn hash(&self) -> blake3::Hasher {
        let mut hasher = blake3::Hasher::new();
        hasher.update(self.model.as_bytes());
        hasher.update(b"\0");
        hasher.update(self.text.as_bytes());
        hasher
    }

    fn digest(&self) -> String {
        let mut digest = self.hash().finalize().to_hex().to_string();
        digest.truncate(DIGEST_CHARS);
        digest
    }

    /// The tokens: the digest of model and text, then words chosen by that digest.
    #[must_use]
    pub fn words(&self) -> Vec<String> {
        let mut picks = vec![0; self.tokens as usize];
        self.hash().finalize_xof().fill(&mut picks);
        let mut words: Vec<String> = picks
            .iter()
            .map(|pick| format!(" {}", WORDS[usize::from(pick % 16)]))
            .collect();
        if let Some(first) = words.first_mut() {
            *first = self.digest();
        }
        words
    }

    /// The whole body of a plain answer.
    #[must_use]
    pub fn plain(&self) -> String {
        json!({
            "id": format!("chatcmpl-{}", self.digest()),
            "object": "chat.completion",
            "created": 0,
            "model": self.model,
            "choices": [{
                "index": 0,
                "message": { "role": "assistant", "content": self.words().concat() },
                "finish_reason": "stop",
            }],
            "usage": { "completion_tokens": self.tokens },
        })
        .to_string()
    }

    /// The server-sent events of a streamed answer, one a token, then the end and its marker.
    #[must_use]
    pub fn events(&self) -> Vec<String> {
        let id = format!("chatcmpl-{}", self.digest());
        let mut events: Vec<String> = self
            .words()
            .iter()
            .map(|word| self.event(&id, &json!({ "content": word }), None))
            .collect();
        events.push(self.event(&id, &json!({}), Some("stop")));
        events.push("data: [DONE]\n\n".to_owned());
        events
    }

    fn event(&self, id: &str, delta: &serde_json::Value, end: Option<&str>) -> String {
        let chunk = json!({
            "id": id,
            "object": "chat.completion.chunk",
            "created": 0,
            "model": self.model,
            "choices": [{ "index": 0, "delta": delta, "finish_reason": end }],
        });
        format!("data: {chunk}\n\n")
    }

    /// The whole body of the answer, plain or streamed.
    #[must_use]
    pub fn bytes(&self) -> String {
        if self.stream {
            self.events().concat()
        } else {
            self.plain()
        }
    }
}
