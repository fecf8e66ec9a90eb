@instances.3 @plan.market
Feature: A leaving upstream gets no new work after a few seconds

  Scenario: cheap engines of a zone are taken back with some notice
    Given no upstreams are bought
    And callers ask all instances all the time
    When the cheap engines of iloilo are taken back within 12 seconds
    And these engines have stopped
    Then they got no new work later than 5 seconds after the notice
    And every answer was whole

  Scenario: cheap engines of a zone stop in the middle of long streams
    Given no upstreams are bought
    And 30 long streams run at i2
    When the cheap engines of cebu are taken back within 5 seconds
    And these engines have stopped
    Then all long streams arrive whole
    And the leaving engines stopped in the middle of streams

  Scenario: an instance cut off from the platform hears of it from its peers
    Given no upstreams are bought
    And i3 is cut off from the platform
    And callers ask i3 all the time
    When the cheap engines of bacolod are taken back within 12 seconds
    And these engines have stopped
    Then they got no new work later than 5 seconds after the notice
    And no answer was lost
