@instances.3
Feature: A withdrawn key stops working within seconds

  Scenario: a key is withdrawn while its streams run
    Given a customer "streaming" with a key of its own
    When "streaming" opens a stream of 600 tokens at each instance
    And another customer opens a stream of 200 tokens at each instance
    And the key of "streaming" is withdrawn at i1
    Then all instances refuse the key of "streaming" within 5 seconds
    And the streams of "streaming" end within 5 seconds of the withdrawal
    And the streams of the other customer are whole
    And the withdrawal for "streaming" at i1 is accepted

  Scenario: a key is withdrawn while the log is down, and its taker is lost
    Given a customer "outage" with a key of its own
    When the log goes down
    And the key of "outage" is withdrawn at i1
    Then all instances refuse the key of "outage" within 5 seconds
    And the withdrawal for "outage" at i1 is accepted
    When instance i1 is killed
    And the log comes back
    Then the withdrawal for "outage" is in the log
    When instance i1 is started and serves
    Then i1 refuses the key of "outage"

  Scenario: one instance is cut off from the log and its peers
    Given a customer "cut-off" with a key of its own
    When the entries can't reach each other
    And i3 is cut from the log
    And the key of "cut-off" is withdrawn at i1
    Then i1 and i2 refuse the key of "cut-off" within 5 seconds
    And i3 serves no call of "cut-off" after 5 seconds
    And i3 refuses keyed and open calls as not run with a time to come back
    And the withdrawal for "cut-off" at i1 isn't accepted yet
    When i3 reaches the log again
    Then i3 comes to refuse the key of "cut-off" for good
    When the entries can reach each other again
    Then the withdrawal for "cut-off" at i1 is accepted

  Scenario: a withdrawal is accepted by a majority while an instance is paused
    Given a customer "paused" with a key of its own
    When instance i2 is paused
    And instance i3 is paused
    And the key of "paused" is withdrawn at i1
    And 5 seconds pass
    Then the withdrawal for "paused" at i1 isn't accepted yet
    When instance i2 is resumed
    Then the withdrawal for "paused" at i1 is accepted
    When 20 calls of "paused" wait at i3
    And instance i3 is resumed
    Then none of the waiting calls is served
    And i3 comes to refuse the key of "paused" for good
