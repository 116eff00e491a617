use serde::{Deserialize, Serialize};

/// Maximum number of generated tokens if the caller sets none.
const DEFAULT_MAX_TOKENS: u32 = 256;

/// Body of `POST /v1/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct CompletionBody {
    /// Name of the model deployment.
    pub model: String,
    /// The prompt.
    pub prompt: String,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// Body of `POST /v1/chat/completions`.
#[derive(Debug, Deserialize)]
pub(crate) struct ChatBody {
    /// Name of the model deployment.
    pub model: String,
    /// The conversation so far.
    pub messages: Vec<Message>,
    /// Maximum number of tokens to generate.
    #[serde(default = "default_max_tokens")]
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    #[serde(default)]
    pub stream: bool,
}

/// A message of a conversation.
#[derive(Debug, Deserialize, Serialize)]
pub(crate) struct Message {
    /// Role of the author.
    pub role: String,
    /// Text of the message.
    pub content: String,
}

/// The request of either body format.
#[derive(Debug)]
pub(crate) struct Prompt {
    /// Name of the model deployment.
    pub model: String,
    /// Text of the prompt.
    pub text: String,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is streamed.
    pub stream: bool,
    /// Whether the answer has the chat format.
    pub chat: bool,
}

/// Writes the JSON objects of an answer.
#[derive(Debug, Clone)]
pub(crate) struct Writer {
    /// Identifier of the answer.
    pub id: String,
    /// Name of the model deployment.
    pub model: String,
    /// Creation time of the answer, in seconds since 1970.
    pub created: u64,
    /// Whether the answer has the chat format.
    pub chat: bool,
}

/// Token counts of a request, as in the OpenAI API.
#[derive(Debug, Clone, Copy, Serialize)]
pub(crate) struct Usage {
    /// Number of tokens in the prompt.
    pub prompt_tokens: u32,
    /// Number of generated tokens.
    pub completion_tokens: u32,
    /// Sum of both.
    pub total_tokens: u32,
}

#[derive(Serialize)]
struct Object<'a> {
    id: &'a str,
    object: &'static str,
    created: u64,
    model: &'a str,
    choices: [Choice<'a>; 1],
    #[serde(skip_serializing_if = "Option::is_none")]
    usage: Option<Usage>,
}

#[derive(Serialize)]
struct Choice<'a> {
    index: u32,
    #[serde(skip_serializing_if = "Option::is_none")]
    text: Option<&'a str>,
    #[serde(skip_serializing_if = "Option::is_none")]
    delta: Option<Delta<'a>>,
    #[serde(skip_serializing_if = "Option::is_none")]
    message: Option<Delta<'a>>,
    finish_reason: Option<&'static str>,
}

#[derive(Serialize)]
struct Delta<'a> {
    role: &'static str,
    content: &'a str,
}

fn default_max_tokens() -> u32 {
    DEFAULT_MAX_TOKENS
}

impl From<CompletionBody> for Prompt {
    fn from(body: CompletionBody) -> Self {
        let CompletionBody {
            model,
            prompt,
            max_tokens,
            stream,
        } = body;
        Self {
            model,
            text: prompt,
            max_tokens,
            stream,
            chat: false,
        }
    }
}

impl From<ChatBody> for Prompt {
    fn from(body: ChatBody) -> Self {
        let mut text = String::new();
        for message in &body.messages {
            text.push_str(&message.role);
            text.push_str(": ");
            text.push_str(&message.content);
            text.push('\n');
        }
        Self {
            model: body.model,
            text,
            max_tokens: body.max_tokens,
            stream: body.stream,
            chat: true,
        }
    }
}

impl Usage {
    pub(crate) fn new(prompt_tokens: u32, completion_tokens: u32) -> Self {
        Self {
            prompt_tokens,
            completion_tokens,
            total_tokens: prompt_tokens.saturating_add(completion_tokens),
        }
    }
}

impl Writer {
    /// Returns the object of a streamed token.
    pub(crate) fn token(&self, text: &str) -> String {
        let choice = if self.chat {
            chunk(None, Some(text), None)
        } else {
            chunk(Some(text), None, None)
        };
        self.object(choice, true, None)
    }

    /// Returns the last object of a stream, with the usage.
    pub(crate) fn finish(&self, usage: Usage, reason: &'static str) -> String {
        let choice = if self.chat {
            chunk(None, Some(""), Some(reason))
        } else {
            chunk(Some(""), None, Some(reason))
        };
        self.object(choice, true, Some(usage))
    }

    /// Returns the object of an answer that is not streamed.
    pub(crate) fn whole(&self, text: &str, usage: Usage, reason: &'static str) -> String {
        let mut choice = chunk(None, None, Some(reason));
        if self.chat {
            choice.message = Some(Delta {
                role: "assistant",
                content: text,
            });
        } else {
            choice.text = Some(text);
        }
        self.object(choice, false, Some(usage))
    }

    fn object(&self, choice: Choice<'_>, streamed: bool, usage: Option<Usage>) -> String {
        let object = match (self.chat, streamed) {
            (true, true) => "chat.completion.chunk",
            (true, false) => "chat.completion",
            (false, _) => "text_completion",
        };
        let whole = Object {
            id: &self.id,
            object,
            created: self.created,
            model: &self.model,
            choices: [choice],
            usage,
        };
        serde_json::to_string(&whole).unwrap_or_default()
    }
}

fn chunk<'a>(
    text: Option<&'a str>,
    delta: Option<&'a str>,
    finish_reason: Option<&'static str>,
) -> Choice<'a> {
    let delta = delta.map(|content| Delta {
        role: "assistant",
        content,
    });
    Choice {
        index: 0,
        text,
        delta,
        message: None,
        finish_reason,
    }
}
