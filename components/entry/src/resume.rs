use std::net::SocketAddr;
use std::time::{Duration, SystemTime};

use data_encoding::BASE64URL_NOPAD;
use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use utils::{Attempt, Digest, ModelId, RequestId, WeightVersion, WorkspaceId};

/// Length of the authentication tag at the end of a token, in bytes.
const TAG_BYTES: usize = 16;
/// Age after which a token is rejected.
pub(crate) const TOKEN_LIFETIME: Duration = Duration::from_secs(15 * 60);

/// Reason why a resume token is rejected.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
#[derive(thiserror::Error)]
pub(crate) enum TokenError {
    /// The token was not made with the shared secret, or was altered.
    #[error("the token is not authentic")]
    Forged,
    /// The token belongs to another workspace.
    #[error("the token belongs to another workspace")]
    WrongWorkspace,
    /// The token is older than [`TOKEN_LIFETIME`].
    #[error("the token has expired")]
    Expired,
}

/// The position from which a stream can be resumed. The caller receives it as the `id` of each event.
#[derive(Debug, Clone, PartialEq, Eq)]
#[derive(Serialize, Deserialize)]
pub(crate) struct ResumePoint {
    /// Identifier of the request.
    pub request_id: RequestId,
    /// Workspace of the caller.
    pub workspace: WorkspaceId,
    /// Model of the request.
    pub model: ModelId,
    /// Weight version of the answer.
    pub weight_version: WeightVersion,
    /// Address of the engine that runs the draft.
    pub address: SocketAddr,
    /// Number of the last attempt.
    pub attempt: Attempt,
    /// Number of tokens that the caller has after this event.
    pub offset: u32,
    /// Maximum number of tokens to generate.
    pub max_tokens: u32,
    /// Whether the answer is in the chat format.
    pub chat: bool,
    /// When the token was issued, in seconds since 1970.
    pub began: u64,
}

/// Signs and verifies resume tokens.
#[derive(Debug, Clone)]
pub(crate) struct TokenSigner {
    /// Key of the BLAKE3 tags.
    key: Digest,
}

impl TokenSigner {
    pub(crate) fn new(key: Digest) -> Self {
        Self { key }
    }

    /// Returns the signed token of a point.
    pub(crate) fn sign(&self, point: &ResumePoint) -> String {
        let mut bytes = postcard::to_stdvec(point).unwrap_or_default();
        let tag = blake3::keyed_hash(self.key.as_bytes(), &bytes);
        bytes.extend_from_slice(&tag.as_bytes()[..TAG_BYTES]);
        BASE64URL_NOPAD.encode(&bytes)
    }

    /// Verifies a token from a caller of `workspace` and returns its point.
    ///
    /// # Errors
    /// Returns a [`TokenError`] if the token is not authentic, has expired or belongs to another workspace.
    pub(crate) fn verify(
        &self,
        token: &str,
        workspace: &str,
        now: SystemTime,
    ) -> Result<ResumePoint, Report<TokenError>> {
        let bytes = BASE64URL_NOPAD
            .decode(token.as_bytes())
            .change_context(TokenError::Forged)?;
        let body_len = bytes.len().checked_sub(TAG_BYTES).ok_or(TokenError::Forged)?;
        let (body, tag) = bytes.split_at(body_len);
        let expected = blake3::keyed_hash(self.key.as_bytes(), body);
        if !bool::from(expected.as_bytes()[..TAG_BYTES].ct_eq(tag)) {
            return Err(Report::new(TokenError::Forged));
        }
        let point: ResumePoint = postcard::from_bytes(body).change_context(TokenError::Forged)?;
        if &*point.workspace != workspace {
            return Err(Report::new(TokenError::WrongWorkspace));
        }
        let began = SystemTime::UNIX_EPOCH + Duration::from_secs(point.began);
        let age = now.duration_since(began).unwrap_or_default();
        if age > TOKEN_LIFETIME {
            return Err(Report::new(TokenError::Expired));
        }
        Ok(point)
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    fn point() -> ResumePoint {
        ResumePoint {
            request_id: 7,
            workspace: "mill".into(),
            model: "quotes".into(),
            weight_version: 3,
            address: ([127, 0, 0, 1], 9000).into(),
            attempt: 1,
            offset: 12,
            max_tokens: 64,
            chat: false,
            began: 1_000,
        }
    }

    fn at(seconds: u64) -> SystemTime {
        SystemTime::UNIX_EPOCH + Duration::from_secs(seconds)
    }

    #[test]
    fn verifies_its_own_token() {
        let token_signer = TokenSigner::new(utils::digest(b"secret"));
        let token = token_signer.sign(&point());
        assert_eq!(token_signer.verify(&token, "mill", at(1_010)).unwrap(), point());
    }

    #[test]
    fn rejects_forged_tokens_tokens_of_other_workspaces_and_expired_tokens() {
        let token_signer = TokenSigner::new(utils::digest(b"secret"));
        let token = token_signer.sign(&point());
        let other = TokenSigner::new(utils::digest(b"other"));
        let error = |r: Result<ResumePoint, Report<TokenError>>| *r.unwrap_err().current_context();
        assert_eq!(error(other.verify(&token, "mill", at(1_010))), TokenError::Forged);
        assert_eq!(
            error(token_signer.verify(&token[1..], "mill", at(1_010))),
            TokenError::Forged
        );
        assert_eq!(
            error(token_signer.verify("", "mill", at(1_010))),
            TokenError::Forged
        );
        assert_eq!(
            error(token_signer.verify(&token, "yard", at(1_010))),
            TokenError::WrongWorkspace
        );
        assert_eq!(
            error(token_signer.verify(&token, "mill", at(1_000 + 15 * 60 + 1))),
            TokenError::Expired
        );
    }
}
