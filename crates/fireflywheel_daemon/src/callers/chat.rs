//! Parses the body of a chat completion request as far as routing needs it.

use fireflywheel::{request, routing};
use serde::Deserialize;
use serde::de::IgnoredAny;
use smol_str::SmolStr;

use crate::errors;

/// The properties of a request that routing uses.
#[derive(Clone, Debug, PartialEq)]
pub struct Chat {
    /// The model, with its adapter, or the path that the request addresses.
    pub target: request::Target,
    /// Whether the caller asks for a streamed answer.
    pub stream: bool,
    /// A hash of the prompt's first [`routing::PREFIX_CHARS`] characters; `None` without a text prompt.
    pub prefix: Option<u64>,
}

#[derive(Deserialize)]
struct Body {
    model: SmolStr,
    messages: Vec<Message>,
    #[serde(default)]
    stream: Option<bool>,
    #[serde(default, rename = "max_tokens")]
    _max_tokens: Option<u32>,
}

#[derive(Deserialize)]
struct Message {
    #[serde(rename = "role")]
    _role: SmolStr,
    #[serde(default)]
    content: Content,
}

/// Message content: a text, or parts of several kinds that only the engine interprets.
#[derive(Deserialize)]
#[serde(untagged)]
enum Content {
    Text(String),
    Parts(#[expect(dead_code, reason = "parsed only to validate the body")] Vec<IgnoredAny>),
    None(()),
}

impl Default for Content {
    fn default() -> Self {
        Self::None(())
    }
}

impl Chat {
    /// Parses the JSON body.
    ///
    /// # Errors
    ///
    /// Returns the [`errors::Problem`] to answer with when the body is invalid.
    pub fn parse(body: &[u8]) -> Result<Self, errors::Problem> {
        let body: Body = serde_json::from_slice(body).map_err(|error| {
            errors::Problem::bad_request("bad_body", format!("the body can't be read: {error}"))
        })?;
        if body.messages.is_empty() {
            return Err(errors::Problem::bad_request(
                "bad_body",
                "messages must not be empty",
            ));
        }
        Ok(Self {
            prefix: hash_prefix(&body),
            target: parse_target(&body.model)?,
            stream: body.stream.unwrap_or_default(),
        })
    }
}

fn parse_target(name: &str) -> Result<request::Target, errors::Problem> {
    let (model, adapter) = match name.split_once(':') {
        Some((model, adapter)) => (model, Some(adapter)),
        None => (name, None),
    };
    if model.is_empty() || adapter.is_some_and(str::is_empty) {
        return Err(errors::Problem::bad_request(
            "bad_body",
            "model takes MODEL or MODEL:ADAPTER",
        ));
    }
    Ok(request::Target::Model {
        model: model.into(),
        adapter: adapter.map(SmolStr::new),
    })
}

fn hash_prefix(body: &Body) -> Option<u64> {
    let Content::Text(text) = &body.messages.first()?.content else {
        return None;
    };
    let start: String = text.chars().take(routing::PREFIX_CHARS).collect();
    let keyed = format!("{}|{start}", body.model);
    Some(routing::prefix(&keyed))
}
