"""Header, topic, key and path names of the platform.

No other package may contain them.
"""

from typing import Final

ATTEMPT_ID: Final = 'X-Attempt-Id'
DEADLINE: Final = 'X-Deadline-Ms'
CALLER_KEY: Final = 'X-Key'
ACCOUNT: Final = 'X-Tenant'
EXPECTED_INSTANCE: Final = 'X-Expected-Instance'
MODEL: Final = 'X-Model'
TOKEN_COUNTS: Final = 'X-Token-Usage'
PROMPT_PREFIX: Final = 'X-Prompt-Prefix'
#: Number of tokens that the caller expects to be generated.
LENGTH_HINT: Final = 'X-Length-Hint'
PRIORITY: Final = 'X-Request-Priority'
#: Sent by a caller that reconnects to a stream, and by the router when it
#: resumes a stream at an endpoint.
LAST_EVENT: Final = 'Last-Event-Id'
SESSION: Final = 'Session'
SIGNATURE: Final = 'X-Server-Signature'
NOT_EXECUTED: Final = 'X-Not-Executed'
SERVER_LOAD: Final = 'X-Server-Load'
CONFIDENCE: Final = 'X-Routing-Confidence'
#: Set in all responses of an endpoint that is leaving.
LEAVING: Final = 'Server-Leaving'
COLD_REMAINING: Final = 'X-Cold-Remaining-Ms'
#: In all answers of the store; rises when it comes back from an older copy.
STORE_ERA: Final = 'Store-Era'

#: Headers that only the router may set; removed from callers' requests.
ROUTER_HEADERS: Final = frozenset(
    name.lower()
    for name in (
        CALLER_KEY,
        ACCOUNT,
        EXPECTED_INSTANCE,
        PRIORITY,
        'X-Expected-Version',
        'X-Cache-Retention',
        'X-Pin-Duration-Ms',
        'X-Kv-Backup',
        'Kv-From',
        'Kv-Fetch',
        DEADLINE,
        LAST_EVENT,
    )
)
#: Hop-by-hop and framing headers, besides those listed in Connection.
CONNECTION_HEADERS: Final = frozenset(
    (
        'connection',
        'keep-alive',
        'proxy-connection',
        'proxy-authenticate',
        'proxy-authorization',
        'te',
        'trailer',
        'trailers',
        'transfer-encoding',
        'upgrade',
        'content-length',
        'expect',
        'host',
    )
)

OPERATOR_TOPIC: Final = 'keyed.op'
ENDPOINT_TOPIC: Final = 'keyed.servers'
STATUS_TOPIC: Final = 'keyed.status'

CONFIGURATION_KEY: Final = 'config'
ROLLOUT_PREFIX: Final = 'rollout/'
EVACUATION_PREFIX: Final = 'evacuate/'

SETTINGS_VARIABLE: Final = 'TOUCANCOURSE_SETTINGS'
READINESS_PATH: Final = '/readiness'
