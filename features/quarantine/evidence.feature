Feature: what crashed replicas is told from what was under way beside it

  Scenario: of the requests at three crashes only the one at all of them is blamed
    # Guards against refusing requests that broke with the replica.
    When three replicas crash under one request and others beside it
    Then it is quarantined for half an hour and the others are not

  Scenario: two requests at the same crashes are told apart by the next one
    # Guards against refusing a sound request that came back beside the other.
    When three replicas crash under the same two requests
    Then neither is quarantined until a replica crashes under one of them alone

  Scenario: a request that was served is cleared
    # Guards against adding up crashes that a request only happened to meet.
    When replicas crash under one request that is served in between
    Then it is not quarantined, whatever older evidence comes late

  Scenario Outline: evidence that <bound>
    # Guards against memory that grows with crashes, and blame without an end.
    When evidence <bound>
    Then what is known stays bounded

    Examples: bounds
      | bound                          |
      | is of ten thousand requests    |
      | names ten thousand crashes     |
      | is of requests that are served |
      | grows old                      |

  Scenario: evidence adds up whatever its order, and however often it comes
    # Guards against daemons that judge a request differently.
    When daemons hear of crashes in any order, some of it twice
    Then they judge every request alike

  Scenario: no sound request is blamed in any mix of requests and crashes
    # Guards against a rule of blame that only fits the cases above.
    When any mix of requests is under way as replicas crash
    Then only what crashed them is quarantined, at its third crash alone
    And a rule that counts crashes only is caught
    And a rule that counts shared crashes for all that share most is caught

  Scenario: a daemon that starts without the store keeps what it had saved
    # Guards against replacing the last copy before it was read.
    When a daemon starts while the store is away, and it comes back
    Then it registers only with the evidence that it had saved before

  Scenario: a daemon that stops does not register again
    # Guards against an object in the store of a daemon that is gone.
    When a daemon that has said that it stops has evidence to save
    Then the store holds nothing of it

  Scenario Outline: evidence that can't be read is refused: <value>
    # Guards against a daemon that ends over another one's message.
    When a daemon is sent <value> as evidence
    Then it answers that it can't be read, and knows what it knew

    Examples: values
      | value                                   |
      | []                                      |
      | {"crashes": 1, "served": []}            |
      | {"crashes": [["a", "b"]], "served": []} |
      | {"crashes": [], "served": [["a", "x"]]} |
      | {"crashes": [["a", "b", null]], "served": []} |
